package org.streamcourse.connection.member;

/** Moving average of the time for which sessions hold a link to one member. */
final class HoldTimes {
  /** Weight of the newest value in the moving average. */
  private static final double NEWEST_WEIGHT = 0.1;

  private static final double INITIAL_MILLIS = 30;

  private double averageMillis = INITIAL_MILLIS;

  void add(long heldMillis) {
    averageMillis += NEWEST_WEIGHT * (heldMillis - averageMillis);
  }

  /** Estimates the time until a number of links has served a number of requests. */
  long estimatedWaitMillis(int requests, int links) {
    return Math.round(requests * averageMillis / Math.max(1, links));
  }
}
