package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;

/**
 * Chooses the gateways of members and caches the result until the set of candidate nodes changes.
 * Nodes of the member's own zone or region are considered first. A fleet of full size has 2,910
 * members and 670 nodes, so hashing each pair at each version would be too expensive.
 */
final class GatewayChooser {
  private final Map<String, List<NodeImage>> chosen = new HashMap<>();
  private final Map<String, List<NodeImage>> byZone = new TreeMap<>();
  private final Map<String, List<NodeImage>> byRegion = new TreeMap<>();
  private List<NodeImage> candidates = List.of();

  /**
   * Sets the candidate nodes.
   *
   * @param nodes all nodes that may be gateways
   */
  void setCandidates(List<NodeImage> nodes) {
    if (nodes.equals(candidates)) {
      return;
    }
    candidates = List.copyOf(nodes);
    chosen.clear();
    byZone.clear();
    byRegion.clear();
    for (NodeImage node : candidates) {
      byZone.computeIfAbsent(node.placement().zone(), any -> new ArrayList<>()).add(node);
      byRegion.computeIfAbsent(node.placement().region(), any -> new ArrayList<>()).add(node);
    }
  }

  /**
   * Chooses the gateways of a member, with the result that {@link AllowancePlanner#chooseGateways}
   * gives for all candidates.
   *
   * @param group group's name
   * @param member the member
   * @return at most two nodes, best first
   */
  List<NodeImage> gatewaysOf(String group, MemberImage member) {
    String key = group + '/' + member.name() + '/' + member.placement();
    return chosen.computeIfAbsent(
        key, any -> AllowancePlanner.chooseGateways(group, member, nearest(member)));
  }

  /**
   * Returns the candidates of the member's zone, its region or the fleet: the first of these with
   * enough nodes.
   */
  private List<NodeImage> nearest(MemberImage member) {
    List<NodeImage> zone = byZone.getOrDefault(member.placement().zone(), List.of());
    if (zone.size() >= AllowancePlanner.GATEWAYS_PER_MEMBER) {
      return zone;
    }
    List<NodeImage> region = byRegion.getOrDefault(member.placement().region(), List.of());
    return region.size() >= AllowancePlanner.GATEWAYS_PER_MEMBER ? region : candidates;
  }
}
