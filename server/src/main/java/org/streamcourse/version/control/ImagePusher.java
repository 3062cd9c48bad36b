package org.streamcourse.version.control;

import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.agreement.AgreementNode;
import org.streamcourse.version.control.ControlMessage.ImagePush;
import org.streamcourse.version.image.ClusterDelta;

/**
 * Sends what changed to all nodes: at once after a quiet time, and at most once in {@link
 * #PUSH_MILLIS} while many changes follow each other. A node that misses a push hears the same in
 * the answer to its next heartbeat.
 */
final class ImagePusher {
  private static final long PUSH_MILLIS = 20;

  private final Worker worker;
  private final PeerNetwork network;
  private final AgreementNode agreement;
  private final ControllerStateMachine machine;
  private long pushedVersion;
  private long lastPushMillis = Long.MIN_VALUE / 2;
  private boolean pushScheduled;

  ImagePusher(
      Worker worker, PeerNetwork network, AgreementNode agreement, ControllerStateMachine machine) {
    this.worker = worker;
    this.network = network;
    this.agreement = agreement;
    this.machine = machine;
  }

  /** A leadership begins or ends; what was agreed before is not pushed. */
  void restart() {
    pushedVersion = machine.image().version();
  }

  /** Something was agreed. */
  void push() {
    long wait = lastPushMillis + PUSH_MILLIS - worker.now();
    if (pushScheduled) {
      return;
    }
    if (wait <= 0) {
      pushNow();
    } else {
      pushScheduled = true;
      worker.schedule(wait, this::pushNow);
    }
  }

  private void pushNow() {
    pushScheduled = false;
    lastPushMillis = worker.now();
    long from = pushedVersion;
    pushedVersion = machine.image().version();
    if (agreement.isLeader() && pushedVersion > from) {
      machine.deltaSince(from).ifPresent(this::pushToAll);
    }
  }

  private void pushToAll(ClusterDelta delta) {
    network.sendToAll(machine.image().nodes().keySet(), new ImagePush(delta.forNodes()));
  }
}
