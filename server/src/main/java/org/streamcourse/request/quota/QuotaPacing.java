package org.streamcourse.request.quota;

/**
 * How fast a run of a node may use its share of a limit, so that a later run of the node can use
 * the same share at once: what the former run may have used at most is known without asking it.
 *
 * <p>A share of {@code n} operations in a window {@code W} allows, in each span of {@code t}
 * milliseconds of one run, {@code f(n, t) = min(n, burst(n) + n * t / W)} operations: a token
 * bucket within a sliding window. A run that inherits a share of {@code m} may use {@code m - f(m,
 * W - x)} of it in its first {@code x} milliseconds. A window that holds {@code W - x} of the
 * former run and {@code x} of the later one thus never holds more than {@code m}.
 *
 * @param windowMillis the window
 * @param leastBurst operations that a share allows at once, where it is as large
 * @param rate part of a share that comes back in a window: all of it, so that a tenant that wants
 *     more than its limit still gets all of its limit in each window
 */
public record QuotaPacing(long windowMillis, double leastBurst, double rate) {
  /**
   * Operations that a share allows at once besides a part of it. A tenant with 1.25 operations a
   * second, at random, has five within a second in one second of 130.
   */
  private static final double LEAST_BURST = 4;

  /**
   * Part of a share that may be used at once besides. For each hundredth a later run waits for 50
   * ms after its start before it may use what it inherits, with a window of 5 s.
   */
  private static final double BURST_SHARE = 0.12;

  /** Shares are whole numbers; sums of fractions are not exact. */
  private static final double ROUNDING = 1e-6;

  /**
   * Creates the pacing of nodes.
   *
   * @param windowMillis the window
   * @return pacing
   */
  public static QuotaPacing of(long windowMillis) {
    return new QuotaPacing(windowMillis, LEAST_BURST, 1);
  }

  /**
   * Creates a pacing that allows to use a share at once, so that an inherited one is of no use
   * until the window is over.
   *
   * @param windowMillis the window
   * @return no pacing
   */
  public static QuotaPacing none(long windowMillis) {
    return new QuotaPacing(windowMillis, Integer.MAX_VALUE, Integer.MAX_VALUE);
  }

  /**
   * Returns what a share allows at once.
   *
   * @param share operations in a window
   * @return operations
   */
  public double burst(int share) {
    return Math.min(share, leastBurst + BURST_SHARE * share);
  }

  /**
   * Returns how fast a share comes back.
   *
   * @param share operations in a window
   * @return operations in a millisecond
   */
  public double perMilli(int share) {
    return rate * share / windowMillis;
  }

  /**
   * Returns what a share allows in a span of time.
   *
   * @param share operations in a window
   * @param spanMillis length of the span
   * @return operations
   */
  public double most(int share, long spanMillis) {
    return Math.min(share, burst(share) + perMilli(share) * spanMillis);
  }

  /**
   * Returns the least share that allows a number of operations in a span of time.
   *
   * @param operations the number
   * @param spanMillis length of the span, at most the window
   * @return operations in a window
   */
  public int needed(int operations, long spanMillis) {
    double beyondBurst = operations - leastBurst;
    if (beyondBurst <= 0) {
      return operations;
    }
    double part = BURST_SHARE + rate * spanMillis / windowMillis;
    return (int) Math.ceil(Math.max(operations, beyondBurst / part) - ROUNDING);
  }

  /**
   * Returns what a run may use after its start.
   *
   * @param share its share
   * @param inherited part of it that a former run of the node had
   * @param ageMillis time since the start, less than a window
   * @return operations since the start
   */
  public double sinceStart(int share, int inherited, long ageMillis) {
    double usable = Math.max(0, inherited - most(inherited, windowMillis - ageMillis));
    double ofWindow = share - inherited + usable;
    double ofBucket = burst(share) - burst(inherited) + perMilli(share) * ageMillis;
    return Math.min(ofWindow, ofBucket) + ROUNDING;
  }
}
