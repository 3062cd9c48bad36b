package org.streamcourse.request.routing;

import org.streamcourse.version.image.RouteRule;

/**
 * How long one statement may take, by worker time.
 *
 * @param startedMillis time at which it came
 * @param route route that bounds it
 */
record StatementTimes(long startedMillis, RouteRule route) {
  /** Part of a route's target latency that a statement may wait for one connection. */
  private static final double WAIT_SHARE = 0.5;

  /** Time before the route's time-out at which the answer leaves. */
  private static final long ANSWER_MILLIS = 10;

  /**
   * Time before the end within which no wait goes on: for the way of a holder's refusal between
   * regions and back, else what has not run is in doubt, and for the statement itself.
   */
  private static final long RETURN_MILLIS = 100;

  /** Most of a short time-out that is kept for that. */
  private static final double RETURN_SHARE = 0.25;

  /** Time at which it is given up. */
  long deadlineMillis() {
    return startedMillis + Math.max(1, route.timeoutMillis() - ANSWER_MILLIS);
  }

  /** Longest wait for one connection, or for one member, in milliseconds. */
  long longestWaitMillis() {
    return Math.round(route.targetLatencyMillis() * WAIT_SHARE);
  }

  /** Time until which a wait for one connection, and for a slot on it, lasts that begins now. */
  long waitsUntilMillis(long now) {
    return Math.min(now + longestWaitMillis(), deadlineMillis() - returnMillis());
  }

  private long returnMillis() {
    return Math.min(RETURN_MILLIS, Math.round(route.timeoutMillis() * RETURN_SHARE));
  }

  /** Time until it is given up, in milliseconds. */
  long remainingMillis(long now) {
    return deadlineMillis() - now;
  }

  /** Time since it came, in milliseconds. */
  long waitedMillis(long now) {
    return now - startedMillis;
  }
}
