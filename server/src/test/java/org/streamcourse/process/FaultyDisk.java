package org.streamcourse.process;

import java.util.Arrays;
import java.util.List;

/** A disk whose writes fail when a test says so; what has reached the files stays in them. */
public final class FaultyDisk implements Disk {
  /** What a failing write leaves in the file. */
  public enum Fault {
    /** The file is as before. */
    NOTHING_WRITTEN,
    /** An append leaves its first half; other writes leave the file as before. */
    HALF_WRITTEN,
    /** The file is as after the write. */
    ALL_WRITTEN
  }

  private final MemoryDisk files;
  private Fault fault = Fault.NOTHING_WRITTEN;
  private long failsFrom = Long.MAX_VALUE;
  private long failsUntil = Long.MAX_VALUE;
  private long writes;
  private boolean nextAppendFails;

  /**
   * Wraps the files.
   *
   * @param files what a restart finds
   */
  public FaultyDisk(MemoryDisk files) {
    this.files = files;
  }

  /**
   * Makes one write fail, after a number of writes that succeed.
   *
   * @param succeeding number of writes before the failing one
   * @param left what the failing write leaves
   */
  public void failOnceAfter(int succeeding, Fault left) {
    failFromOn(succeeding, left);
    failsUntil = failsFrom + 1;
  }

  /**
   * Makes all writes fail, after a number of writes that succeed.
   *
   * @param succeeding number of writes before the first failing one
   * @param left what the failing writes leave
   */
  public void failFromOn(int succeeding, Fault left) {
    fault = left;
    failsFrom = writes + succeeding;
    failsUntil = Long.MAX_VALUE;
  }

  /**
   * Makes the next append fail.
   *
   * @param left what it leaves
   */
  public void failNextAppend(Fault left) {
    nextAppendFails = true;
    fault = left;
  }

  /** Lets all writes succeed from now on. */
  public void repair() {
    failsFrom = Long.MAX_VALUE;
  }

  private void write(Runnable whole, Runnable half) {
    boolean fails = writes >= failsFrom && writes < failsUntil;
    writes++;
    if (!fails) {
      whole.run();
      return;
    }
    if (fault == Fault.ALL_WRITTEN) {
      whole.run();
    } else if (fault == Fault.HALF_WRITTEN) {
      half.run();
    }
    throw new StreamcourseException(ErrorCode.INTERNAL, "disk", "", "No space left on device");
  }

  @Override
  public List<String> list() {
    return files.list();
  }

  @Override
  public byte[] read(String name) {
    return files.read(name);
  }

  @Override
  public void appendAndSync(String name, byte[] bytes) {
    if (nextAppendFails) {
      nextAppendFails = false;
      failOnceAfter(0, fault);
    }
    byte[] half = Arrays.copyOf(bytes, bytes.length / 2);
    write(() -> files.appendAndSync(name, bytes), () -> files.appendAndSync(name, half));
  }

  @Override
  public void replace(String name, byte[] bytes) {
    write(() -> files.replace(name, bytes), () -> {});
  }

  @Override
  public void delete(String name) {
    write(() -> files.delete(name), () -> {});
  }
}
