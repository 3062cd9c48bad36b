package org.streamcourse.version.agreement;

import org.streamcourse.process.Worker;

/**
 * Starts a leader's round before its next heartbeat when something waits for it: at once after a
 * quiet time, and at most once in {@link #BETWEEN_MILLIS}. While a fleet starts, each of its nodes
 * asks for a confirmation eight times a second; a round of its own for each of them would be two
 * messages to each voter.
 */
final class SoonRound {
  /** Time between two such rounds: half the way between regions, so that it adds little to it. */
  private static final long BETWEEN_MILLIS = 10;

  private final Worker worker;
  private final Runnable startRound;
  private long lastMillis = Long.MIN_VALUE / 2;
  private boolean scheduled;

  SoonRound(Worker worker, Runnable startRound) {
    this.worker = worker;
    this.startRound = startRound;
  }

  /** Something waits for a round. */
  void request() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    long wait = lastMillis + BETWEEN_MILLIS - worker.now();
    if (wait > 0) {
      worker.schedule(wait, this::start);
    } else {
      worker.execute(this::start);
    }
  }

  private void start() {
    scheduled = false;
    lastMillis = worker.now();
    startRound.run();
  }
}
