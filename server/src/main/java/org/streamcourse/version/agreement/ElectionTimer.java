package org.streamcourse.version.agreement;

import java.util.random.RandomGenerator;
import org.streamcourse.process.Worker;
import reactor.core.Disposable;

/**
 * Runs out when no leader has been heard for a random time. From a controller's start until it
 * first hears of a leader the time is shorter, since the others may just be starting too; each try
 * then leaves more time than the one before, since votes may take long to come.
 *
 * <p>All methods run on the controller's worker.
 */
final class ElectionTimer {
  private final Worker worker;
  private final AgreementSettings settings;
  private final RandomGenerator random;
  private final Runnable onTimeout;
  private Disposable timer = () -> {};
  private boolean leaderHeard;
  private long startingTimeout;

  ElectionTimer(
      Worker worker, AgreementSettings settings, RandomGenerator random, Runnable onTimeout) {
    this.worker = worker;
    this.settings = settings;
    this.random = random;
    this.onTimeout = onTimeout;
  }

  /** The controller starts. */
  void startFirst() {
    startingTimeout = settings.firstElectionMillis();
    start(startingTimeout);
  }

  /** A try has not led to a leader. */
  void startNextTry() {
    startingTimeout = Math.min(2 * startingTimeout, settings.electionTimeoutMillis());
    start(leaderHeard ? settings.electionTimeoutMillis() : startingTimeout);
  }

  /** A leader or a candidate was heard. */
  void restart() {
    start(settings.electionTimeoutMillis());
  }

  void leaderHeard() {
    leaderHeard = true;
  }

  void stop() {
    timer.dispose();
  }

  private void start(long timeout) {
    timer.dispose();
    timer = worker.schedule(timeout + random.nextLong(timeout), onTimeout);
  }
}
