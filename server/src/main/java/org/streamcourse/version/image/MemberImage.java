package org.streamcourse.version.image;

import java.util.List;

/**
 * A member of a database group.
 *
 * @param name member's name, unique in its group
 * @param host IP address
 * @param port TCP port
 * @param placement region and zone
 * @param connectionLimit maximum number of connections from all gateways
 * @param slotLimit maximum number of statements that the member runs at the same time
 * @param draining true when the member must get no new work
 * @param allowances shares of the limits, one for each gateway; their sum never exceeds the limits
 */
public record MemberImage(
    String name,
    String host,
    int port,
    Placement placement,
    int connectionLimit,
    int slotLimit,
    boolean draining,
    List<Allowance> allowances) {
  /** Makes the list unmodifiable. */
  public MemberImage {
    allowances = List.copyOf(allowances);
  }

  /**
   * Sets whether the member is draining.
   *
   * @param value new value
   * @return changed member
   */
  public MemberImage withDraining(boolean value) {
    return new MemberImage(
        name, host, port, placement, connectionLimit, slotLimit, value, allowances);
  }

  /**
   * Sets the allowances.
   *
   * @param value new allowances
   * @return changed member
   */
  public MemberImage withAllowances(List<Allowance> value) {
    return new MemberImage(
        name, host, port, placement, connectionLimit, slotLimit, draining, value);
  }

  /**
   * Sets the limits.
   *
   * @param connections maximum number of connections
   * @param slots maximum number of running statements
   * @return changed member
   */
  public MemberImage withLimits(int connections, int slots) {
    return new MemberImage(name, host, port, placement, connections, slots, draining, allowances);
  }

  /**
   * Returns a gateway's allowance.
   *
   * @param node name of the gateway's node
   * @return allowance, or null when the node is not a gateway of this member
   */
  public Allowance allowanceOf(String node) {
    for (Allowance allowance : allowances) {
      if (allowance.node().equals(node)) {
        return allowance;
      }
    }
    return null;
  }

  /**
   * Returns the nodes that have an allowance, which are the member's gateways.
   *
   * @return node names
   */
  public List<String> gateways() {
    return allowances.stream().map(Allowance::node).toList();
  }
}
