package org.streamcourse.connection.backend;

import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * Settings of all pools of a node.
 *
 * @param warmConnections minimum number of connections kept open to each member, idle or busy
 * @param maxWaiting maximum number of requests waiting for a connection or a slot of one member
 * @param maxQueueMillis longest expected wait at which a new request is still queued; a longer
 *     queue would add latency, not throughput
 * @param connectRetryMillis pause after a failed connect
 * @param endGraceMillis longest time for which a connection that is being closed counts as open
 */
public record PoolSettings(
    int warmConnections,
    int maxWaiting,
    long maxQueueMillis,
    long connectRetryMillis,
    long endGraceMillis) {
  /** Default grace period: longer than any pause after which a member resumes by itself. */
  public static final long DEFAULT_END_GRACE_MILLIS = 30_000;

  /** Values used when the settings file has none. */
  public static final PoolSettings DEFAULT =
      new PoolSettings(4, 512, 1_000, 100, DEFAULT_END_GRACE_MILLIS);

  /** Validates all fields. */
  public void validate() {
    require(warmConnections >= 0, "warmConnections must not be negative");
    require(maxWaiting >= 1, "maxWaiting must be at least 1");
    require(maxQueueMillis >= 1, "maxQueueMillis must be at least 1");
    require(connectRetryMillis >= 1, "connectRetryMillis must be at least 1");
    require(endGraceMillis >= 1, "endGraceMillis must be at least 1");
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS, "check-settings", "", "pool." + message);
    }
  }
}
