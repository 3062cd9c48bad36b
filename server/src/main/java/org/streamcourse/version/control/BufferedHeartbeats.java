package org.streamcourse.version.control;

import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlMessage.StoredImage;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;

/**
 * Buffers the heartbeats that a controller receives while it is not the leader. After all processes
 * have started at once there is no leader yet: a node without an image receives the image stored at
 * this controller, and its buffered heartbeat is answered if this controller is elected.
 *
 * <p>All methods run on the controller's worker.
 */
final class BufferedHeartbeats {
  /** Time after its start in which a controller sends its stored image to nodes. */
  private static final long STORED_IMAGE_MILLIS = 5_000;

  /**
   * Time until the stored image is sent again to a node that still has none. Such a node sends a
   * heartbeat each 120 ms, and an image of tens of kilobytes may take as long to arrive.
   */
  private static final long RESEND_MILLIS = 400;

  /**
   * Time for which a node of another region is left to the controllers of its own region. Every
   * controller receives the heartbeats of a node without an image, one each 120 ms; six controllers
   * would send it six images, four of these between regions.
   */
  private static final long OTHER_REGION_DELAY_MILLIS = 300;

  private static final int MAX_BUFFERED = 4_096;

  /**
   * Age beyond which a heartbeat is dropped, as {@link ControlSettings#gatewaySilenceMillis()}: a
   * leader counts the reports of a heartbeat as made when it handles the heartbeat.
   */
  private static final long MAX_AGE_MILLIS = 1_500;

  /** A heartbeat and the time at which it arrived. */
  private record Received(NodeHeartbeat heartbeat, long atMillis) {}

  private final Worker worker;
  private final PeerNetwork network;

  /** Sorted by node name, so that a simulation is repeatable. */
  private final Map<String, Received> buffered = new TreeMap<>();

  private final Map<String, Long> sentMillis = new TreeMap<>();
  private final Map<String, Long> firstReceivedMillis = new TreeMap<>();
  private Placement placement;
  private long startedMillis;

  BufferedHeartbeats(Worker worker, PeerNetwork network) {
    this.worker = worker;
    this.network = network;
  }

  /** Sets the placement of this controller; without it, nodes of all regions are treated alike. */
  void setPlacement(Placement value) {
    placement = value;
  }

  /** Records the time at which the controller starts. */
  void onStart() {
    startedMillis = worker.now();
  }

  /** Returns whether the sender has no image yet. */
  static boolean isWithoutImage(NodeHeartbeat heartbeat) {
    return heartbeat.version() == 0;
  }

  /**
   * Buffers the newest heartbeat of each node, and sends the stored image to a node without one.
   */
  void add(String node, NodeHeartbeat heartbeat, ClusterImage stored) {
    if (buffered.size() < MAX_BUFFERED) {
      buffered.put(node, new Received(heartbeat, worker.now()));
    }
    boolean justStarted = worker.now() - startedMillis < STORED_IMAGE_MILLIS;
    if (justStarted
        && isWithoutImage(heartbeat)
        && stored.document().isPresent()
        && isDue(heartbeat.node())) {
      sentMillis.put(node, worker.now());
      network.send(node, new StoredImage(stored.forNodes()));
    }
  }

  private boolean isDue(NodeImage node) {
    long now = worker.now();
    Long first = firstReceivedMillis.putIfAbsent(node.name(), now);
    long waited = first == null ? 0 : now - first;
    if (isOfAnotherRegion(node) && waited < OTHER_REGION_DELAY_MILLIS) {
      return false;
    }
    Long sent = sentMillis.get(node.name());
    return sent == null || now - sent >= RESEND_MILLIS;
  }

  private boolean isOfAnotherRegion(NodeImage node) {
    return placement != null && !placement.region().equals(node.placement().region());
  }

  /** Removes all buffered heartbeats and returns the recent ones by node. */
  Map<String, NodeHeartbeat> take() {
    long now = worker.now();
    Map<String, NodeHeartbeat> taken = new TreeMap<>();
    buffered.forEach(
        (node, received) -> {
          if (now - received.atMillis() <= MAX_AGE_MILLIS) {
            taken.put(node, received.heartbeat());
          }
        });
    buffered.clear();
    return taken;
  }
}
