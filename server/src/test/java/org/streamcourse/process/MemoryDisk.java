package org.streamcourse.process;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** An in-memory data folder for tests. */
public final class MemoryDisk implements Disk {
  private final TreeMap<String, byte[]> files = new TreeMap<>();

  @Override
  public List<String> list() {
    return new ArrayList<>(files.keySet());
  }

  @Override
  public byte[] read(String name) {
    byte[] content = files.get(name);
    return content == null ? null : content.clone();
  }

  @Override
  public void appendAndSync(String name, byte[] bytes) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.writeBytes(files.getOrDefault(name, new byte[0]));
    content.writeBytes(bytes);
    files.put(name, content.toByteArray());
  }

  @Override
  public void replace(String name, byte[] bytes) {
    files.put(name, bytes.clone());
  }

  @Override
  public void delete(String name) {
    files.remove(name);
  }
}
