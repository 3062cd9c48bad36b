package org.streamcourse.version.image;

/**
 * An admitted node of the fleet.
 *
 * @param name node's name
 * @param incarnation number of this start of the node's process; constant for a statement proxy,
 *     which has no data folder; otherwise it increases with each start
 * @param host IP address for peer links
 * @param port TCP port for peer links
 * @param placement region and zone
 * @param draining true when the node must get no new work
 */
public record NodeImage(
    String name, long incarnation, String host, int port, Placement placement, boolean draining) {
  /**
   * Returns where this incarnation begins to number its requests to other nodes. Replies may arrive
   * after a restart, and must not match a request of another incarnation.
   *
   * @return number below those of its requests; not negative, far from those of other incarnations
   */
  public long lastRequest() {
    return incarnation << Integer.SIZE >>> 1;
  }

  /**
   * Sets whether the node is draining.
   *
   * @param value new value
   * @return changed node
   */
  public NodeImage withDraining(boolean value) {
    return new NodeImage(name, incarnation, host, port, placement, value);
  }
}
