package org.streamcourse.version.agreement;

import java.util.random.RandomGenerator;
import org.streamcourse.process.Worker;
import reactor.core.Disposable;

/**
 * Election timeout with random jitter, restarted by messages from a leader and by granted votes.
 *
 * <p>Until a controller has seen a leader for the first time the timeout is shorter, since all
 * controllers may be starting at the same time and none of them may lead yet. It doubles with each
 * unsuccessful election, up to the usual timeout, since votes may take long to arrive.
 *
 * <p>All methods run on the controller's worker.
 */
final class ElectionTimer {
  private final Worker worker;
  private final AgreementSettings settings;
  private final RandomGenerator random;
  private final Runnable onTimeout;
  private Disposable timer = () -> {};
  private boolean leaderSeen;
  private long initialTimeout;

  ElectionTimer(
      Worker worker, AgreementSettings settings, RandomGenerator random, Runnable onTimeout) {
    this.worker = worker;
    this.settings = settings;
    this.random = random;
    this.onTimeout = onTimeout;
  }

  /** Starts the timer when the controller starts. */
  void startInitial() {
    initialTimeout = settings.firstElectionMillis();
    start(initialTimeout);
  }

  /** Starts the timer for the next election, after one that elected no leader. */
  void startRetry() {
    initialTimeout = Math.min(2 * initialTimeout, settings.electionTimeoutMillis());
    start(leaderSeen ? settings.electionTimeoutMillis() : initialTimeout);
  }

  /** Restarts the timer with the usual timeout. */
  void restart() {
    start(settings.electionTimeoutMillis());
  }

  /** Restarts the timer with a timeout that is longer than that of any other controller. */
  void startAfterOthers() {
    start(2 * settings.electionTimeoutMillis());
  }

  void leaderSeen() {
    leaderSeen = true;
  }

  void stop() {
    timer.dispose();
  }

  private void start(long timeout) {
    timer.dispose();
    timer = worker.schedule(timeout + random.nextLong(timeout), onTimeout);
  }
}
