package org.streamcourse.version.control;

import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.agreement.AgreementNode;
import org.streamcourse.version.control.ControlMessage.ImagePush;
import org.streamcourse.version.image.ClusterDelta;

/**
 * Pushes agreed changes to all nodes: at once if the last push is at least {@link #PUSH_MILLIS}
 * ago, otherwise together with the changes that follow within this time. A node that misses a push
 * receives the changes in the reply to its next heartbeat.
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

  /** Called when a leadership begins or ends; changes agreed before are not pushed. */
  void restart() {
    pushedVersion = machine.image().version();
  }

  /**
   * Called after a change of the image was agreed; pushes it now or within {@link #PUSH_MILLIS}.
   */
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
