package org.streamcourse.version.control;

import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.ImageRequest;

/**
 * Requests the image of another node while this node has none. Controllers may be unreachable while
 * other nodes are reachable: without this, proxies that started behind a partition served nothing
 * until it ended. Since messages may be lost, the request is repeated until an image has arrived,
 * to the node from which a message arrived last.
 *
 * <p>All methods run on the agent's worker.
 */
final class ImageRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ImageRequests.class);

  /** Time between requests for an image: a round trip between regions and the image's transfer. */
  private static final long REQUEST_MILLIS = 150;

  private final Worker worker;
  private final PeerNetwork network;
  private final BooleanSupplier hasImage;
  private String source = "";

  ImageRequests(Worker worker, PeerNetwork network, BooleanSupplier hasImage) {
    this.worker = worker;
    this.network = network;
    this.hasImage = hasImage;
  }

  /** Called when a message from another node has arrived. */
  void reached(String node) {
    boolean requesting = !source.isEmpty();
    source = hasImage.getAsBoolean() ? "" : node;
    if (!requesting) {
      request();
    }
  }

  private void request() {
    if (hasImage.getAsBoolean() || source.isEmpty()) {
      source = "";
      return;
    }
    LOG.info("requests the image of {}", source);
    network.send(source, new ImageRequest());
    worker.schedule(REQUEST_MILLIS, this::request);
  }
}
