package org.streamcourse.process;

import java.util.function.LongSupplier;

/**
 * Limits the log lines of a process per second. Lines over the limit are dropped and counted; the
 * count is logged in one line of the next second. Thread-safe.
 */
public final class LineBudget {
  private static final long SECOND_MILLIS = 1_000;

  private final int linesPerSecond;
  private final LongSupplier clockMillis;
  private long secondStartedMillis;
  private int used;
  private long dropped;
  private long totalDropped;

  /**
   * Creates a budget.
   *
   * @param linesPerSecond maximum number of lines per second
   * @param clockMillis monotonic clock in milliseconds
   */
  public LineBudget(int linesPerSecond, LongSupplier clockMillis) {
    this.linesPerSecond = linesPerSecond;
    this.clockMillis = clockMillis;
  }

  /**
   * Requests permission to log a line.
   *
   * @return false if the line must be dropped
   */
  public synchronized boolean take() {
    long now = clockMillis.getAsLong();
    if (now - secondStartedMillis >= SECOND_MILLIS) {
      secondStartedMillis = now;
      used = 0;
    }
    if (used >= linesPerSecond) {
      dropped++;
      totalDropped++;
      return false;
    }
    used++;
    return true;
  }

  /**
   * Returns the number of lines dropped since the last call.
   *
   * @return count, to be logged in a line of its own
   */
  public synchronized long takeDropped() {
    long count = dropped;
    dropped = 0;
    return count;
  }

  /**
   * Returns the total number of dropped lines.
   *
   * @return count since the process started
   */
  public synchronized long totalDropped() {
    return totalDropped;
  }
}
