package org.streamcourse.version.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.agreement.AgreementNode;
import org.streamcourse.version.agreement.VoterSet;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;

/**
 * A leader's replies to heartbeats. A reply brings the node up to date: with the changes since its
 * version, or with the whole image where that is smaller or the changes are no longer kept.
 *
 * <p>All methods run on the controller's worker.
 */
final class HeartbeatReplies {
  /**
   * Time until the whole image is sent again to a node that still has none. Such a node sends a
   * heartbeat each 120 ms, and on a busy machine the image needs longer than that. Its heartbeats
   * in the meantime are not answered, so no heartbeat is confirmed before the image has arrived.
   */
  private static final long IMAGE_RESEND_MILLIS = 400;

  /** A whole image that was sent: number of the heartbeat that it answers, and time of sending. */
  private record Sent(long sequence, long atMillis) {}

  private final Worker worker;
  private final PeerNetwork network;
  private final AgreementNode agreement;
  private final ControllerStateMachine machine;
  private final Map<String, Sent> wholeImages = new HashMap<>();

  HeartbeatReplies(
      Worker worker, PeerNetwork network, AgreementNode agreement, ControllerStateMachine machine) {
    this.worker = worker;
    this.network = network;
    this.agreement = agreement;
    this.machine = machine;
  }

  /** Forgets the sent images when a leadership begins or ends. */
  void restart() {
    wholeImages.clear();
  }

  /**
   * Replies to a heartbeat; called once a majority has confirmed the leadership after its arrival.
   */
  void reply(String node, long sequence, long version, boolean reportAll) {
    ClusterImage image = machine.image();
    Optional<ClusterDelta> delta =
        machine.deltaSince(version).filter(image::isLargerThan).map(ClusterDelta::forNodes);
    if (delta.isEmpty() && !maySendImage(node, sequence)) {
      return;
    }
    ClusterImage whole = delta.isPresent() ? null : image.forNodes();
    network.send(
        node,
        new HeartbeatReply(sequence, delta.orElse(null), whole, reportAll, controllerNames()));
  }

  /**
   * Returns whether the whole image may be sent now. A lower sequence number than before shows that
   * the node has restarted and needs the image at once; a restarted node with a higher one waits.
   */
  private boolean maySendImage(String node, long sequence) {
    long now = worker.now();
    Sent last = wholeImages.get(node);
    boolean inFlight =
        last != null && sequence > last.sequence() && now - last.atMillis() < IMAGE_RESEND_MILLIS;
    if (!inFlight) {
      wholeImages.put(node, new Sent(sequence, now));
    }
    return !inFlight;
  }

  private List<String> controllerNames() {
    return agreement.voters().all().stream().map(VoterSet::nameOf).distinct().toList();
  }
}
