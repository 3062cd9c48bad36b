package org.streamcourse.lab.simulation;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.process.Disk;

/**
 * An in-memory disk that can crash its process during a later write: an interrupted append leaves a
 * torn tail, an interrupted replacement leaves the old file. A power loss during a write may also
 * leave the whole append, or the new file. Each write is synced before it returns, so that a power
 * loss between two writes discards nothing.
 */
public class SimDisk implements Disk {
  /** Thrown during a write to end the process. */
  static final class CrashException extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  private final TreeMap<String, byte[]> files = new TreeMap<>();
  private int writesUntilCrash = -1;
  private IntUnaryOperator tornLength = length -> 0;
  private UniformRandomProvider powerLoss;

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

  /**
   * Arranges for a power loss during the next write.
   *
   * @param outcome draws what the interrupted write leaves
   */
  void losePowerDuringWrite(UniformRandomProvider outcome) {
    powerLoss = outcome;
  }

  /** Discards what has not been synced; the host has lost power. */
  void losePower() {
    powerLoss = null;
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
    if (powerLoss != null) {
      append(name, bytes, lengthAfterPowerLoss(bytes.length));
      throw new CrashException();
    }
    if (crashesNow()) {
      append(name, bytes, tornLength.applyAsInt(bytes.length));
      throw new CrashException();
    }
    append(name, bytes, bytes.length);
  }

  /** Draws the length of an interrupted append: none of it, a part or the whole. */
  private int lengthAfterPowerLoss(int length) {
    return switch (powerLoss.nextInt(3)) {
      case 0 -> 0;
      case 1 -> powerLoss.nextInt(length);
      default -> length;
    };
  }

  private void append(String name, byte[] bytes, int length) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.writeBytes(files.getOrDefault(name, new byte[0]));
    content.write(bytes, 0, length);
    files.put(name, content.toByteArray());
  }

  @Override
  public void replace(String name, byte[] bytes) {
    if (powerLoss != null) {
      if (powerLoss.nextBoolean()) {
        files.put(name, bytes.clone());
      }
      throw new CrashException();
    }
    if (crashesNow()) {
      throw new CrashException();
    }
    files.put(name, bytes.clone());
  }

  @Override
  public void delete(String name) {
    if (powerLoss != null) {
      if (powerLoss.nextBoolean()) {
        files.remove(name);
      }
      throw new CrashException();
    }
    files.remove(name);
  }
}
