package org.streamcourse.version.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.ClusterImage;

/**
 * When a majority of the controllers last confirmed a heartbeat of this node, and with it that the
 * node's image is up to date. Changed on the agent's worker; may be read on any thread.
 */
final class NodeConfirmation {
  private static final Logger LOG = LoggerFactory.getLogger(NodeConfirmation.class);

  private final Worker worker;
  private final ControlSettings settings;
  private volatile long startedMillis;
  private volatile long lastMillis;
  private volatile boolean any;

  NodeConfirmation(Worker worker, ControlSettings settings) {
    this.worker = worker;
    this.settings = settings;
  }

  /** Records the start of the node. */
  void start() {
    startedMillis = worker.now();
  }

  /** Returns whether a heartbeat was confirmed since the start. */
  boolean hasAny() {
    return any;
  }

  long millisSinceStart() {
    return worker.now() - startedMillis;
  }

  /** Returns whether a heartbeat that was sent less than this time ago was confirmed. */
  boolean isWithin(long millis) {
    return any && worker.now() - lastMillis < millis;
  }

  /** Returns whether the node was neither started nor confirmed recently. */
  boolean isCutOff() {
    return worker.now() - (any ? lastMillis : startedMillis) >= settings.confirmationMillis();
  }

  /**
   * Records a confirmation. Logs the first one, and each one after an interruption.
   *
   * @param sentMillis time at which the confirmed heartbeat was sent
   * @param image image in force, which is at least as new as that of the confirmation
   */
  void confirmed(long sentMillis, ClusterImage image) {
    if (!isWithin(settings.confirmationMillis())) {
      LOG.info(
          "confirmed by the controllers, image version {}, document version {}, {} ms unconfirmed",
          image.version(),
          image.document().version(),
          any ? sentMillis - lastMillis : millisSinceStart());
    }
    lastMillis = Math.max(lastMillis, sentMillis);
    any = true;
  }
}
