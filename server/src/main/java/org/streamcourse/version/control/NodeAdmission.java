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
 * The leader's admission of nodes: admits nodes that send heartbeats, removes nodes whose
 * heartbeats stop or that have drained, and adapts the allowances of all members to the admitted
 * nodes.
 */
final class NodeAdmission {
  private final ControlSettings settings;
  private final NodeRegistry registry;
  private final Predicate<NodeImage> leavesByPlatform;
  private final GroupSupervisor.Actions actions;
  private final Map<String, Long> admitting = new HashMap<>();
  private final List<ClusterChange> admissions = new ArrayList<>();
  private final Map<String, Long> removedAtMillis = new HashMap<>();
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

  /** Discards all state when a leadership begins or ends. */
  void restart(long now) {
    admitting.clear();
    admissions.clear();
    removedAtMillis.clear();
    allowancesChangedAtVersion.clear();
    changing.clear();
    leadsSince = now;
    plannedVersion = -1;
  }

  /** Plans all allowances again at the next check, since other nodes may be chosen as gateways. */
  void replan() {
    planIncomplete = true;
  }

  /**
   * Admits the sender of a heartbeat unless it is admitted already. The change is proposed at the
   * next check, so that nodes that start together are agreed on and published together.
   */
  void onHeartbeat(ClusterImage image, NodeHeartbeat heartbeat) {
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
        admitted == null ? "first heartbeat" : "heartbeat of a newer incarnation",
        "incarnation " + node.incarnation(),
        "admitted");
    admissions.add(new ClusterChange.NodeAdmitted(node));
  }

  /** Records the version at which a member's allowances changed. */
  void applied(ClusterChange.AllowancesSet change, long version) {
    String key = key(change.group(), change.member());
    changing.remove(key);
    allowancesChangedAtVersion.put(key, version);
  }

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  /** Proposes admissions and removals of nodes, and the next changes of allowances. */
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
    long lastHeartbeat = state.map(NodeRegistry.NodeState::lastHeartbeatMillis).orElse(leadsSince);
    boolean lost = actions.now() - lastHeartbeat > settings.nodeLostMillis();
    boolean left =
        state.map(NodeRegistry.NodeState::isLeaving).orElse(false)
            && !holdsAllowance(image, node.name());
    if (!lost && !left) {
      return;
    }
    if (removedAtMillis.putIfAbsent(node.name(), actions.now()) != null) {
      return;
    }
    registry.forget(node.name());
    actions.decided(
        Decision.Kind.NODE_REMOVED,
        node.name(),
        left ? "it has drained" : "no heartbeat for " + settings.nodeLostMillis() + " ms",
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
      removedAtMillis.remove(node.name());
      boolean leaving =
          registry.state(node.name()).map(NodeRegistry.NodeState::isLeaving).orElse(false);
      if (!node.draining() && !leaving && !leavesByPlatform.test(node)) {
        candidates.add(node);
      }
    }
    if (candidates.isEmpty()) {
      return;
    }
    chooser.setCandidates(candidates);
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
        AllowancePlanner.plan(
            member, gateways, allowance -> isReleased(image, allowance, changedAt));
    if (next.isPresent()) {
      changing.add(key);
      actions.decided(
          Decision.Kind.ALLOWANCES_SET,
          key,
          "gateways by placement and hash",
          member.allowances().toString(),
          next.get().toString());
      actions.propose(new ClusterChange.AllowancesSet(group.name(), member.name(), next.get()));
    }
    planIncomplete |= next.isPresent() || !AllowancePlanner.isOnTarget(member, gateways);
  }

  /** Returns whether a node certainly has no more connections than its present allowance. */
  private boolean isReleased(ClusterImage image, Allowance allowance, long changedAtVersion) {
    Optional<NodeRegistry.NodeState> state = registry.state(allowance.node());
    if (state.isPresent()) {
      return state.get().heldVersion() >= changedAtVersion;
    }
    if (image.node(allowance.node()).isPresent()) {
      return false;
    }
    Long gone = removedAtMillis.computeIfAbsent(allowance.node(), any -> actions.now());
    return actions.now() - gone > settings.releaseMillis();
  }
}
