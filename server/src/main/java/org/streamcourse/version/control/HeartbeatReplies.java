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
 * A leader's answers to heartbeats, with what the node lacks: the changes since its version, or the
 * whole image where that is shorter or the changes are no longer kept.
 *
 * <p>All methods run on the controller's worker.
 */
final class HeartbeatReplies {
  /**
   * Time until a node that still has nothing gets the whole image again. It asks each 120 ms, and
   * on a busy machine the image needs longer than that; what it asked meanwhile stays unanswered,
   * so no heartbeat is confirmed that the image does not come with.
   */
  private static final long WHOLE_AGAIN_MILLIS = 400;

  /** A whole image that was sent. */
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

  /** Forgets everything, as a leadership begins or ends. */
  void restart() {
    wholeImages.clear();
  }

  /** Answers a heartbeat after which a majority has confirmed the leadership. */
  void reply(String node, long sequence, long version, boolean reportAll) {
    ClusterImage image = machine.image();
    Optional<ClusterDelta> delta =
        image.isLargerThan(image.version() - version)
            ? machine.deltaSince(version).map(ClusterDelta::forNodes)
            : Optional.empty();
    if (delta.isEmpty() && !takeTurn(node, sequence)) {
      return;
    }
    ClusterImage whole = delta.isPresent() ? null : image.forNodes();
    network.send(
        node,
        new HeartbeatReply(sequence, delta.orElse(null), whole, reportAll, controllerNames()));
  }

  /** Whether the whole image may be sent now; a node that counts anew has started again. */
  private boolean takeTurn(String node, long sequence) {
    long now = worker.now();
    Sent last = wholeImages.get(node);
    boolean onItsWay =
        last != null && sequence > last.sequence() && now - last.atMillis() < WHOLE_AGAIN_MILLIS;
    if (!onItsWay) {
      wholeImages.put(node, new Sent(sequence, now));
    }
    return !onItsWay;
  }

  private List<String> controllerNames() {
    return agreement.voters().all().stream().map(VoterSet::nameOf).distinct().toList();
  }
}
