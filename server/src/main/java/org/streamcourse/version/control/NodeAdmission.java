package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;

/**
 * The leader's table of nodes: admits those that send heartbeats, removes those that fell silent or
 * have left, and keeps the allowances of all members in line with the admitted nodes.
 */
final class NodeAdmission {
  private final ControlSettings settings;
  private final NodeRegistry registry;
  private final Predicate<NodeImage> leavesByPlatform;
  private final GroupSupervisor.Actions actions;
  private final Map<String, Long> admitting = new HashMap<>();
  private final List<ClusterChange> admissions = new ArrayList<>();
  private final Map<String, Long> removedAt = new HashMap<>();
  private final Map<String, Long> allowancesChangedAtVersion = new HashMap<>();
  private final Set<String> changing = new HashSet<>();
  private final GatewayChooser chooser = new GatewayChooser();
  private long leadsSince;
  private long plannedVersion = -1;
  private boolean planIncomplete;

  NodeAdmission(
      ControlSettings settings,
      NodeRegistry registry,
      Predicate<NodeImage> leavesByPlatform,
      GroupSupervisor.Actions actions) {
    this.settings = settings;
    this.registry = registry;
    this.leavesByPlatform = leavesByPlatform;
    this.actions = actions;
  }

  /** Forgets everything, as a leadership begins or ends. */
  void restart(long now) {
    admitting.clear();
    admissions.clear();
    removedAt.clear();
    allowancesChangedAtVersion.clear();
    changing.clear();
    leadsSince = now;
    plannedVersion = -1;
  }

  /** Looks at all allowances at the next check, since other nodes may be wanted as gateways. */
  void planAgain() {
    planIncomplete = true;
  }

  /**
   * Admits the sender of a heartbeat unless it is admitted already; with the next check, so that
   * nodes that start together are agreed on and told of together.
   */
  void heard(ClusterImage image, NodeHeartbeat heartbeat) {
    NodeImage node = heartbeat.node();
    NodeImage admitted = image.nodes().get(node.name());
    if (heartbeat.leaving() && admitted != null) {
      planIncomplete = true;
    }
    if (admitted != null && admitted.incarnation() >= node.incarnation()) {
      admitting.remove(node.name());
      return;
    }
    Long proposed = admitting.get(node.name());
    if (heartbeat.leaving() || (proposed != null && proposed >= node.incarnation())) {
      return;
    }
    admitting.put(node.name(), node.incarnation());
    actions.decided(
        Decision.Kind.NODE_ADMITTED,
        node.name(),
        admitted == null ? "sent a heartbeat" : "came back",
        "incarnation " + node.incarnation(),
        "admitted");
    admissions.add(new ClusterChange.NodeAdmitted(node));
  }

  /** Notes at which version a member's allowances changed. */
  void applied(ClusterChange.AllowancesSet change, long version) {
    String key = key(change.group(), change.member());
    changing.remove(key);
    allowancesChangedAtVersion.put(key, version);
  }

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  /** Admits and removes nodes, and takes the next steps of moving allowances. */
  void check(ClusterImage image) {
    admissions.forEach(actions::propose);
    admissions.clear();
    for (NodeImage node : image.nodes().values()) {
      removeIfGone(image, node);
    }
    if (plannedVersion != image.version() || planIncomplete) {
      plannedVersion = image.version();
      planIncomplete = false;
      planAllowances(image);
    }
  }

  private void removeIfGone(ClusterImage image, NodeImage node) {
    Optional<NodeRegistry.NodeState> state = registry.state(node.name());
    long lastHeard = state.map(NodeRegistry.NodeState::lastHeardMillis).orElse(leadsSince);
    boolean lost = actions.now() - lastHeard > settings.nodeLostMillis();
    boolean left =
        state.map(NodeRegistry.NodeState::isLeaving).orElse(false)
            && !holdsAllowance(image, node.name());
    if (!lost && !left) {
      return;
    }
    if (removedAt.putIfAbsent(node.name(), actions.now()) != null) {
      return;
    }
    registry.forget(node.name());
    actions.decided(
        Decision.Kind.NODE_REMOVED,
        node.name(),
        left ? "it has left" : "silent for " + settings.nodeLostMillis() + " ms",
        "incarnation " + node.incarnation(),
        "removed");
    actions.propose(new ClusterChange.NodeRemoved(node.name(), node.incarnation()));
  }

  private static boolean holdsAllowance(ClusterImage image, String node) {
    return image.groups().values().stream()
        .flatMap(group -> group.members().stream())
        .anyMatch(member -> member.allowanceOf(node) != null);
  }

  private void planAllowances(ClusterImage image) {
    List<NodeImage> candidates = new ArrayList<>();
    for (NodeImage node : image.nodes().values()) {
      removedAt.remove(node.name());
      boolean leaving =
          registry.state(node.name()).map(NodeRegistry.NodeState::isLeaving).orElse(false);
      if (!node.draining() && !leaving && !leavesByPlatform.test(node)) {
        candidates.add(node);
      }
    }
    if (candidates.isEmpty()) {
      return;
    }
    chooser.use(candidates);
    for (GroupImage group : image.groups().values()) {
      for (MemberImage member : group.members()) {
        planMember(image, group, member);
      }
    }
  }

  private void planMember(ClusterImage image, GroupImage group, MemberImage member) {
    String key = key(group.name(), member.name());
    if (changing.contains(key)) {
      planIncomplete = true;
      return;
    }
    long changedAt = allowancesChangedAtVersion.getOrDefault(key, image.version());
    List<NodeImage> gateways = chooser.gatewaysOf(group.name(), member);
    Optional<List<Allowance>> next =
        AllowancePlanner.plan(member, gateways, part -> isReleased(image, part, changedAt));
    if (next.isPresent()) {
      changing.add(key);
      actions.decided(
          Decision.Kind.ALLOWANCES_SET,
          key,
          "gateways by place and hash",
          member.allowances().toString(),
          next.get().toString());
      actions.propose(new ClusterChange.AllowancesSet(group.name(), member.name(), next.get()));
    }
    planIncomplete |= next.isPresent() || !AllowancePlanner.isOnTarget(member, gateways);
  }

  /** Whether a node certainly holds no more connections than its present part. */
  private boolean isReleased(ClusterImage image, Allowance part, long changedAtVersion) {
    Optional<NodeRegistry.NodeState> state = registry.state(part.node());
    if (state.isPresent()) {
      return state.get().heldVersion() >= changedAtVersion;
    }
    if (image.node(part.node()).isPresent()) {
      return false;
    }
    Long gone = removedAt.computeIfAbsent(part.node(), any -> actions.now());
    return actions.now() - gone > settings.releaseMillis();
  }
}
