package org.streamcourse.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.streamcourse.process.Disk;

/** Disk that stores only file sizes, so that many hollow nodes are not limited by one real disk. */
final class HollowDisk implements Disk {
  private final Map<String, Integer> sizes = new ConcurrentHashMap<>();

  @Override
  public List<String> list() {
    return List.of();
  }

  @Override
  public byte[] read(String name) {
    return null;
  }

  @Override
  public void appendAndSync(String name, byte[] bytes) {
    sizes.merge(name, bytes.length, Integer::sum);
  }

  @Override
  public void replace(String name, byte[] bytes) {
    sizes.put(name, bytes.length);
  }

  @Override
  public void delete(String name) {
    sizes.remove(name);
  }
}
