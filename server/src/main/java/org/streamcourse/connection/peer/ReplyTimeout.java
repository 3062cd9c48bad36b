package org.streamcourse.connection.peer;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds that a peer no longer replies. Guarded by the lock of its link. */
final class ReplyTimeout {
  private static final Logger LOG = LoggerFactory.getLogger(ReplyTimeout.class);

  private final String peer;
  private final Duration timeout;
  private long unansweredSinceNanos;

  ReplyTimeout(String peer, Duration timeout) {
    this.peer = peer;
    this.timeout = timeout;
  }

  void messageReceived() {
    unansweredSinceNanos = 0;
  }

  /** Returns whether an answer is outstanding and nothing arrived within the time-out. */
  boolean isOverdue(boolean expectsAnswer) {
    long now = System.nanoTime();
    if (unansweredSinceNanos == 0) {
      unansweredSinceNanos = expectsAnswer ? now : 0;
      return false;
    }
    if (now - unansweredSinceNanos <= timeout.toNanos()) {
      return false;
    }
    LOG.info("no reply from peer {} within {} ms; opens a new link", peer, timeout.toMillis());
    unansweredSinceNanos = now;
    return true;
  }
}
