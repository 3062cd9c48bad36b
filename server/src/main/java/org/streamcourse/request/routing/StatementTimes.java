package org.streamcourse.request.routing;

import org.streamcourse.version.image.RouteRule;

/**
 * Time limits of one statement, by the worker's clock.
 *
 * @param startedMillis time at which the statement arrived
 * @param route route whose limits apply
 */
record StatementTimes(long startedMillis, RouteRule route) {
  /** Part of a route's target latency that a statement may wait for one connection. */
  private static final double WAIT_SHARE = 0.5;

  /** Time before the route's time-out by which the answer is sent. */
  private static final long ANSWER_MARGIN_MILLIS = 10;

  /**
   * Time before the deadline at which waits for a connection or slot end. It leaves time to run the
   * statement, and for the round trip of a holder's refusal between regions; without the refusal,
   * the outcome of a statement that has not run would be unknown.
   */
  private static final long WAIT_MARGIN_MILLIS = 100;

  /** Greatest part of a short time-out that this margin takes. */
  private static final double WAIT_MARGIN_SHARE = 0.25;

  /** Returns the time at which the statement is abandoned. */
  long deadlineMillis() {
    return startedMillis + Math.max(1, route.timeoutMillis() - ANSWER_MARGIN_MILLIS);
  }

  /** Returns the longest wait for one connection, or for one member, in milliseconds. */
  long longestWaitMillis() {
    return Math.round(route.targetLatencyMillis() * WAIT_SHARE);
  }

  /** Returns the time at which a wait for a connection and its slot ends that begins now. */
  long waitsUntilMillis(long now) {
    return Math.min(now + longestWaitMillis(), deadlineMillis() - waitMarginMillis());
  }

  private long waitMarginMillis() {
    return Math.min(WAIT_MARGIN_MILLIS, Math.round(route.timeoutMillis() * WAIT_MARGIN_SHARE));
  }

  /** Returns the time until the statement is abandoned, in milliseconds. */
  long remainingMillis(long now) {
    return deadlineMillis() - now;
  }

  /** Returns the time since the statement arrived, in milliseconds. */
  long waitedMillis(long now) {
    return now - startedMillis;
  }
}
