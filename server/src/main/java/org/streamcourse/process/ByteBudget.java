package org.streamcourse.process;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that requests hold at the same time. May be used on any thread. */
public final class ByteBudget {
  private final long limitBytes;
  private final AtomicLong used = new AtomicLong();

  /**
   * Creates a budget.
   *
   * @param limitBytes maximum number of bytes
   */
  public ByteBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Takes bytes, unless the limit would be exceeded.
   *
   * @param bytes number of bytes
   * @return whether they were taken and must be released
   */
  public boolean tryTake(long bytes) {
    if (used.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    used.addAndGet(-bytes);
    return false;
  }

  /**
   * Gives back bytes that were taken.
   *
   * @param bytes number of bytes
   */
  public void release(long bytes) {
    used.addAndGet(-bytes);
  }

  /**
   * Returns the bytes that are taken.
   *
   * @return bytes
   */
  public long used() {
    return used.get();
  }
}
