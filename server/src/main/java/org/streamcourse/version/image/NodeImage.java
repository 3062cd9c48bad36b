package org.streamcourse.version.image;

/**
 * One admitted node of the fleet.
 *
 * @param name node's name
 * @param incarnation number that differs for each start of the node
 * @param host IP number for links from other nodes
 * @param port TCP port for links
 * @param placement region and zone
 * @param draining true when it must get no new work
 */
public record NodeImage(
    String name, long incarnation, String host, int port, Placement placement, boolean draining) {
  /**
   * Changes the draining mark.
   *
   * @param value new mark
   * @return changed node
   */
  public NodeImage withDraining(boolean value) {
    return new NodeImage(name, incarnation, host, port, placement, value);
  }
}
