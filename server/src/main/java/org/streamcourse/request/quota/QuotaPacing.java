package org.streamcourse.request.quota;

/**
 * Bounds how fast an incarnation of a node may use its share of a limit, so that the next
 * incarnation can use the same share soon after its start: the pacing bounds what the former
 * incarnation may have used, which need not be known.
 *
 * <p>A share of {@code n} operations in a window {@code W} allows, in each span of {@code t}
 * milliseconds of one incarnation, {@code f(n, t) = min(n, burst(n) + n * t / W)} operations: a
 * token bucket within a sliding window. An incarnation that inherits a share of {@code m} may use
 * {@code m - f(m, W - x)} of it in its first {@code x} milliseconds. A window that holds {@code W -
 * x} of the former incarnation and {@code x} of the later one thus never holds more than {@code m}.
 *
 * @param windowMillis length of the window
 * @param leastBurst operations that a share allows at once, if it is at least as large
 * @param rate part of a share that is refilled in a window. With 1, a tenant that requests more
 *     than its limit still gets its whole limit in each window
 */
public record QuotaPacing(long windowMillis, double leastBurst, double rate) {
  /**
   * Fixed number of operations that a share allows at once. A tenant with 1.25 random operations a
   * second has five of them in one second of 130.
   */
  private static final double LEAST_BURST = 4;

  /**
   * Part of a share that may be used at once in addition. Each hundredth delays the use of an
   * inherited share after a start by 50 ms, with a window of 5 s.
   */
  private static final double BURST_SHARE = 0.12;

  /** Tolerance for rounding errors of fractions, because shares are whole numbers. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /**
   * Creates the default pacing.
   *
   * @param windowMillis length of the window
   * @return pacing
   */
  public static QuotaPacing of(long windowMillis) {
    return new QuotaPacing(windowMillis, LEAST_BURST, 1);
  }

  /**
   * Creates a pacing that allows the use of a whole share at once, so that an inherited share
   * cannot be used until the first window is over.
   *
   * @param windowMillis length of the window
   * @return unlimited pacing
   */
  public static QuotaPacing none(long windowMillis) {
    return new QuotaPacing(windowMillis, Integer.MAX_VALUE, Integer.MAX_VALUE);
  }

  /**
   * Returns the number of operations that a share allows at once.
   *
   * @param share operations in a window
   * @return operations
   */
  public double burst(int share) {
    return Math.min(share, leastBurst + BURST_SHARE * share);
  }

  /**
   * Returns the refill rate of a share.
   *
   * @param share operations in a window
   * @return operations per millisecond
   */
  public double perMilli(int share) {
    return rate * share / windowMillis;
  }

  /**
   * Returns the number of operations that a share allows in a span of time.
   *
   * @param share operations in a window
   * @param spanMillis length of the span
   * @return operations
   */
  public double allowed(int share, long spanMillis) {
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
    return (int) Math.ceil(Math.max(operations, beyondBurst / part) - ROUNDING_TOLERANCE);
  }

  /**
   * Returns the number of operations that an incarnation may run after its start.
   *
   * @param share share of the incarnation
   * @param inherited part of the share that a former incarnation of the node had
   * @param ageMillis time since the start, less than a window
   * @return operations since the start
   */
  public double allowedSinceStart(int share, int inherited, long ageMillis) {
    double usable = Math.max(0, inherited - allowed(inherited, windowMillis - ageMillis));
    double byWindow = share - inherited + usable;
    double byBucket = burst(share) - burst(inherited) + perMilli(share) * ageMillis;
    return Math.min(byWindow, byBucket) + ROUNDING_TOLERANCE;
  }
}
