package org.streamcourse.version.image;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;
import org.streamcourse.version.image.ClusterChange.GroupCreated;
import org.streamcourse.version.image.ClusterChange.GroupDropped;
import org.streamcourse.version.image.ClusterChange.LimitsChanged;
import org.streamcourse.version.image.ClusterChange.MemberDrained;
import org.streamcourse.version.image.ClusterChange.NodeDrained;
import org.streamcourse.version.image.ClusterChange.RulesChanged;

/** Validates an operator's change against the image to which it would be applied. */
public final class ChangeValidator {
  private ChangeValidator() {}

  /**
   * Validates a change.
   *
   * @param image image before the change
   * @param change requested change
   * @return description of the first problem; empty for a valid change
   */
  public static Optional<String> check(ClusterImage image, ConfigurationChange change) {
    if (change instanceof GroupCreated created) {
      return checkNewGroup(image, created.group());
    }
    if (change instanceof GroupDropped dropped) {
      return requireGroup(image, dropped.group());
    }
    if (change instanceof RulesChanged rules) {
      return requireGroup(image, rules.group()).or(() -> checkRules(rules.rules()));
    }
    if (change instanceof LimitsChanged limits) {
      return requireMember(image, limits.group(), limits.member())
          .or(() -> checkLimits(limits.connections(), limits.slots()));
    }
    if (change instanceof MemberDrained drained) {
      return requireMember(image, drained.group(), drained.member())
          .or(() -> checkDrain(image, drained));
    }
    NodeDrained drained = (NodeDrained) change;
    return image.node(drained.node()).isPresent()
        ? Optional.empty()
        : Optional.of("node '" + drained.node() + "' does not exist");
  }

  private static Optional<String> checkNewGroup(ClusterImage image, GroupImage group) {
    if (image.group(group.name()).isPresent()) {
      return Optional.of("group '" + group.name() + "' exists already");
    }
    if (group.members().isEmpty()) {
      return Optional.of("members: a group needs at least one member");
    }
    Set<String> names = new HashSet<>();
    for (MemberImage member : group.members()) {
      if (!names.add(member.name())) {
        return Optional.of("members: '" + member.name() + "' is named twice");
      }
      Optional<String> wrong = checkLimits(member.connectionLimit(), member.slotLimit());
      if (wrong.isPresent()) {
        return wrong.map(text -> "member '" + member.name() + "': " + text);
      }
    }
    return checkRules(group.rules());
  }

  private static Optional<String> checkRules(GroupRules rules) {
    if (rules.maxStalenessMillis() < 1) {
      return Optional.of("max_staleness_ms: must be at least 1");
    }
    return rules.catchUpWaitMillis() < 0
        ? Optional.of("catch_up_wait_ms: must not be negative")
        : Optional.empty();
  }

  private static Optional<String> checkLimits(int connections, int slots) {
    if (connections < 1) {
      return Optional.of("connections: must be at least 1");
    }
    return slots < 1 ? Optional.of("slots: must be at least 1") : Optional.empty();
  }

  private static Optional<String> checkDrain(ClusterImage image, MemberDrained drained) {
    GroupImage group = image.groups().get(drained.group());
    boolean primary = group.primary().equals(drained.member());
    return drained.draining() && primary
        ? Optional.of("member '" + drained.member() + "' is primary: switch the primary first")
        : Optional.empty();
  }

  private static Optional<String> requireGroup(ClusterImage image, String group) {
    return image.group(group).isPresent()
        ? Optional.empty()
        : Optional.of("group '" + group + "' does not exist");
  }

  private static Optional<String> requireMember(ClusterImage image, String group, String member) {
    Optional<GroupImage> found = image.group(group);
    if (found.isEmpty()) {
      return requireGroup(image, group);
    }
    return found.get().member(member).isPresent()
        ? Optional.empty()
        : Optional.of("group '" + group + "' has no member '" + member + "'");
  }
}
