package org.streamcourse.version.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.version.image.ClusterImage;

/** Logs each version of the routing document that is agreed while the controller runs. */
final class DocumentLog {
  private static final Logger LOG = LoggerFactory.getLogger(DocumentLog.class);

  private long version;

  /**
   * Called when a command was applied.
   *
   * @param image agreed image
   * @param replayed whether the command was read from the log when the controller started
   */
  void applied(ClusterImage image, boolean replayed) {
    long former = version;
    version = image.document().version();
    if (version != former && !replayed) {
      LOG.info("document agreed, version {}, image version {}", version, image.version());
    }
  }
}
