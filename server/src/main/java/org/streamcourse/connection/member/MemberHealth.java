package org.streamcourse.connection.member;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;

/** Tracks whether a member is reachable, and when it last responded. */
final class MemberHealth {
  private static final Logger LOG = LoggerFactory.getLogger(MemberHealth.class);

  /** Time without a response after which a new connection probes an unresponsive member. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 250;

  private static final int NO_RESPONSE = -1;

  private final Worker worker;
  private final String name;
  private final Runnable onChange;
  private boolean unreachable;
  private long lastResponseMillis = NO_RESPONSE;

  /**
   * Creates the health of a member, which is initially reachable.
   *
   * @param worker the proxy's worker
   * @param name service and member, for logs
   * @param onChange runs when the member becomes unreachable or reachable again
   */
  MemberHealth(Worker worker, String name, Runnable onChange) {
    this.worker = worker;
    this.name = name;
    this.onChange = onChange;
  }

  boolean isUnreachable() {
    return unreachable;
  }

  /** Returns the worker time of the last response in milliseconds; negative when there was none. */
  long lastResponseMillis() {
    return lastResponseMillis;
  }

  void recordResponse() {
    lastResponseMillis = worker.now();
  }

  boolean respondedRecently() {
    return worker.now() - lastResponseMillis <= RESPONSE_TIMEOUT_MILLIS;
  }

  /** Returns whether a command sent at a time, MAX_VALUE for none, got no response in time. */
  boolean isUnresponsiveSince(long sentMillis) {
    return sentMillis != Long.MAX_VALUE
        && worker.now() - Math.max(sentMillis, lastResponseMillis) > RESPONSE_TIMEOUT_MILLIS;
  }

  /** Records that the member accepted a link; {@code only} if it is this node's only one. */
  void accepted(boolean only) {
    if (unreachable) {
      LOG.info("member {} is reachable again", name);
      unreachable = false;
      onChange.run();
    } else if (only) {
      LOG.info("member {} accepts this node", name);
    }
  }

  /** Marks the member as unreachable; {@code failLinks} runs before the change is reported. */
  void markUnreachable(String cause, Runnable failLinks) {
    if (!unreachable) {
      unreachable = true;
      LOG.warn("member {} is unreachable: {}", name, cause);
      failLinks.run();
      onChange.run();
    }
  }
}
