package org.streamcourse.version.control;

import org.streamcourse.process.Worker;

/**
 * Whether a node that was never confirmed should wait for the controllers to elect a leader before
 * it serves with a stored image. A stored image may lack the newest changes, so a node that started
 * a while ago and can expect a confirmation does not serve with it. Changed on the agent's worker;
 * may be read on any thread.
 */
final class ElectionWait {
  /** Time within which running controllers that reach each other have elected a leader. */
  private static final long ELECTION_MILLIS = 2_000;

  /** Time without a message from any controller after which none counts as reachable. */
  private static final long SILENCE_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Worker worker;
  private volatile long sinceMillis = NEVER;
  private volatile long lastMillis = NEVER;

  ElectionWait(Worker worker) {
    this.worker = worker;
  }

  /** Called when a controller has sent a message that is not a confirmation. */
  void controllerResponded() {
    if (isSilent()) {
      sinceMillis = worker.now();
    }
    lastMillis = worker.now();
  }

  private boolean isSilent() {
    return worker.now() - lastMillis > SILENCE_MILLIS;
  }

  /** Returns whether no controller is reachable, or those that are have had time to elect one. */
  boolean isOver() {
    return isSilent() || worker.now() - sinceMillis >= ELECTION_MILLIS;
  }
}
