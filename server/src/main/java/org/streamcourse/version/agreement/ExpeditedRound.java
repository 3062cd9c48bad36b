package org.streamcourse.version.agreement;

import org.streamcourse.process.Worker;

/**
 * Starts a leader's round before the next heartbeat when a task waits for the confirmation of the
 * leadership: immediately, but at most once in {@link #MIN_INTERVAL_MILLIS}. While a fleet starts,
 * each node requests a confirmation eight times a second; a round for each of these would send a
 * message to and receive one from every voter.
 */
final class ExpeditedRound {
  /** Half of the one-way latency between regions, so that waiting adds little to a round. */
  private static final long MIN_INTERVAL_MILLIS = 10;

  private final Worker worker;
  private final Runnable startRound;
  private long lastMillis = Long.MIN_VALUE / 2;
  private boolean scheduled;

  ExpeditedRound(Worker worker, Runnable startRound) {
    this.worker = worker;
    this.startRound = startRound;
  }

  /** Requests a round; requests that arrive before it starts share it. */
  void request() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    long wait = lastMillis + MIN_INTERVAL_MILLIS - worker.now();
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
