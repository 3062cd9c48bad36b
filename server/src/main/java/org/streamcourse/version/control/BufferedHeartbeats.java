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
 * The heartbeats that a controller hears while it does not lead. After a start of all machines
 * there is no leader yet: a node that has nothing gets what is known here to be agreed, and its
 * heartbeat is answered if this controller is elected.
 *
 * <p>All methods run on the controller's worker.
 */
final class BufferedHeartbeats {
  /** Time after its start in which a controller tells nodes what it stored. */
  private static final long STORED_IMAGE_MILLIS = 5_000;

  /**
   * Time until the same node is told again, if it still has nothing: it asks each 120 ms, and an
   * image of tens of kilobytes may take as long to reach it.
   */
  private static final long TELL_AGAIN_MILLIS = 400;

  /**
   * Time for which a node of another region is left to the controllers of its own. All controllers
   * hear a node that has nothing, each 120 ms; six of them would send it six images, four of these
   * between regions.
   */
  private static final long OWN_REGION_MILLIS = 300;

  private static final int MOST_KEPT = 4_096;

  private final Worker worker;
  private final PeerNetwork network;

  /** In the order of names, so that a simulated history repeats. */
  private final Map<String, NodeHeartbeat> kept = new TreeMap<>();

  private final Map<String, Long> toldMillis = new TreeMap<>();
  private final Map<String, Long> heardMillis = new TreeMap<>();
  private Placement placement;
  private long startedMillis;

  BufferedHeartbeats(Worker worker, PeerNetwork network) {
    this.worker = worker;
    this.network = network;
  }

  /** Sets where this controller stands; until then it tells nodes of all regions alike. */
  void setPlacement(Placement value) {
    placement = value;
  }

  /** The controller starts. */
  void started() {
    startedMillis = worker.now();
  }

  /** Whether the node has no image yet. */
  static boolean isOfAStart(NodeHeartbeat heartbeat) {
    return heartbeat.version() == 0;
  }

  /** Keeps a heartbeat, the newest of each node. */
  void heard(String node, NodeHeartbeat heartbeat, ClusterImage stored) {
    if (kept.size() < MOST_KEPT) {
      kept.put(node, heartbeat);
    }
    boolean justStarted = worker.now() - startedMillis < STORED_IMAGE_MILLIS;
    if (justStarted
        && isOfAStart(heartbeat)
        && stored.document().isPresent()
        && isDue(heartbeat.node())) {
      toldMillis.put(node, worker.now());
      network.send(node, new StoredImage(stored.forNodes()));
    }
  }

  private boolean isDue(NodeImage node) {
    long now = worker.now();
    Long first = heardMillis.putIfAbsent(node.name(), now);
    long askedFor = first == null ? 0 : now - first;
    if (isOfAnotherRegion(node) && askedFor < OWN_REGION_MILLIS) {
      return false;
    }
    Long told = toldMillis.get(node.name());
    return told == null || now - told >= TELL_AGAIN_MILLIS;
  }

  private boolean isOfAnotherRegion(NodeImage node) {
    return placement != null && !placement.region().equals(node.placement().region());
  }

  /** Forgets and returns the heartbeats by node. */
  Map<String, NodeHeartbeat> take() {
    Map<String, NodeHeartbeat> taken = new TreeMap<>(kept);
    kept.clear();
    return taken;
  }
}
