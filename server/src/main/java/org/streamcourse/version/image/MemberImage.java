package org.streamcourse.version.image;

import java.util.List;

/**
 * One database member.
 *
 * @param name member's name, unique in its group
 * @param host IP number
 * @param port TCP port
 * @param placement region and zone
 * @param connectionLimit connections it accepts from gateways
 * @param slotLimit statements it runs at the same time
 * @param draining true when it must get no new work
 * @param allowances parts of its limits, by gateway; they never add up to more than the limits
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
   * Changes the draining mark.
   *
   * @param value new mark
   * @return changed member
   */
  public MemberImage withDraining(boolean value) {
    return new MemberImage(
        name, host, port, placement, connectionLimit, slotLimit, value, allowances);
  }

  /**
   * Changes the allowances.
   *
   * @param value new allowances
   * @return changed member
   */
  public MemberImage withAllowances(List<Allowance> value) {
    return new MemberImage(
        name, host, port, placement, connectionLimit, slotLimit, draining, value);
  }

  /**
   * Changes the limits.
   *
   * @param connections new limit of connections
   * @param slots new limit of running statements
   * @return changed member
   */
  public MemberImage withLimits(int connections, int slots) {
    return new MemberImage(name, host, port, placement, connections, slots, draining, allowances);
  }

  /**
   * Returns a gateway's allowance.
   *
   * @param node gateway's node name
   * @return allowance, or null when the node is no gateway of this member
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
   * Returns the nodes with a part of the member's limits.
   *
   * @return node names
   */
  public List<String> gateways() {
    return allowances.stream().map(Allowance::node).toList();
  }
}
