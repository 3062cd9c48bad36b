package org.streamcourse.lab.simulation;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import org.streamcourse.process.Disk;

/**
 * An in-memory disk that can crash its process during a later write: an interrupted append leaves a
 * torn tail, an interrupted replacement leaves the old file.
 */
public class SimDisk implements Disk {
  /** Thrown during a write to end the process. */
  static final class CrashException extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  private final TreeMap<String, byte[]> files = new TreeMap<>();
  private int writesUntilCrash = -1;
  private IntUnaryOperator tornLength = length -> 0;

  /**
   * Arranges for the process to crash during a later write.
   *
   * @param writes number of writes that succeed before the crash; negative for no crash
   * @param torn number of bytes of the interrupted append that reach the disk, by its length
   */
  void crashAfter(int writes, IntUnaryOperator torn) {
    writesUntilCrash = writes;
    tornLength = torn;
  }

  private boolean crashesNow() {
    if (writesUntilCrash < 0) {
      return false;
    }
    writesUntilCrash--;
    return writesUntilCrash < 0;
  }

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
    if (crashesNow()) {
      append(name, bytes, tornLength.applyAsInt(bytes.length));
      throw new CrashException();
    }
    append(name, bytes, bytes.length);
  }

  private void append(String name, byte[] bytes, int length) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.writeBytes(files.getOrDefault(name, new byte[0]));
    content.write(bytes, 0, length);
    files.put(name, content.toByteArray());
  }

  @Override
  public void replace(String name, byte[] bytes) {
    if (crashesNow()) {
      throw new CrashException();
    }
    files.put(name, bytes.clone());
  }

  @Override
  public void delete(String name) {
    files.remove(name);
  }
}
