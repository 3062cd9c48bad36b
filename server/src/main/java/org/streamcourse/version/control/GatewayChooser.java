package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;

/**
 * Remembers the gateways of each member for as long as the nodes that may be gateways stay the
 * same, and looks for them in the member's own zone or region first. At full size a plan covers
 * 2,910 members and 670 nodes, and must not hash each pair at each version.
 */
final class GatewayChooser {
  private final Map<String, List<NodeImage>> chosen = new HashMap<>();
  private final Map<String, List<NodeImage>> byZone = new TreeMap<>();
  private final Map<String, List<NodeImage>> byRegion = new TreeMap<>();
  private List<NodeImage> candidates = List.of();

  /**
   * Takes the nodes that may be gateways now.
   *
   * @param nodes all of them
   */
  void use(List<NodeImage> nodes) {
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
   * Chooses the gateways of a member, as {@link AllowancePlanner#chooseGateways} does among all.
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

  /** The smallest set of near nodes that holds enough gateways. */
  private List<NodeImage> nearest(MemberImage member) {
    List<NodeImage> zone = byZone.getOrDefault(member.placement().zone(), List.of());
    if (zone.size() >= AllowancePlanner.GATEWAYS_PER_MEMBER) {
      return zone;
    }
    List<NodeImage> region = byRegion.getOrDefault(member.placement().region(), List.of());
    return region.size() >= AllowancePlanner.GATEWAYS_PER_MEMBER ? region : candidates;
  }
}
