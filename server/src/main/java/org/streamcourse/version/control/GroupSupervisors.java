package org.streamcourse.version.control;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.streamcourse.version.control.ControlMessage.MemberOrderResult;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;

/**
 * The supervisors of all groups. A group whose primary is being changed is checked each time; the
 * other groups, which are only checked for an unreachable primary, take turns.
 */
final class GroupSupervisors {
  /** Number of calls within which every group without a change in progress is checked once. */
  private static final int STABLE_GROUPS_EVERY = 5;

  /** Time between two checks above which the leader itself was delayed. */
  private static final long DELAYED_MILLIS = 500;

  private final Function<String, GroupSupervisor> create;
  private final Map<String, GroupSupervisor> supervisors = new TreeMap<>();
  private int turn;
  private long lastCheckMillis;

  GroupSupervisors(Function<String, GroupSupervisor> create) {
    this.create = create;
  }

  GroupSupervisor of(String group) {
    return supervisors.computeIfAbsent(group, create);
  }

  void check(GroupImage group) {
    of(group.name()).check(group);
  }

  /** Checks the groups that are due. */
  void checkDue(ClusterImage image, long now) {
    restartWatchesAfterDelay(now);
    supervisors.keySet().retainAll(image.groups().keySet());
    turn = (turn + 1) % STABLE_GROUPS_EVERY;
    int number = 0;
    for (GroupImage group : image.groups().values()) {
      number++;
      if (of(group.name()).isChanging(group) || number % STABLE_GROUPS_EVERY == turn) {
        check(group);
      }
    }
  }

  /**
   * Restarts the watches after a delay of the leader itself: it processed no heartbeats meanwhile,
   * so their absence does not show that gateways or members are unreachable.
   */
  private void restartWatchesAfterDelay(long now) {
    if (now - lastCheckMillis > DELAYED_MILLIS) {
      supervisors.values().forEach(GroupSupervisor::restartWatching);
    }
    lastCheckMillis = now;
  }

  /** Passes the result of an order to the supervisor that sent the order. */
  void orderResult(ClusterImage image, MemberOrderResult result) {
    for (Map.Entry<String, GroupSupervisor> each : supervisors.entrySet()) {
      if (each.getValue().awaits(result.orderId())) {
        image.group(each.getKey()).ifPresent(group -> each.getValue().orderResult(group, result));
        return;
      }
    }
  }

  /** Discards all supervisors when a leadership begins or ends. */
  void restart(long now) {
    supervisors.clear();
    lastCheckMillis = now;
  }

  /** Returns the group whose primary a change concerns. */
  static Optional<String> groupOf(ClusterChange change) {
    if (change instanceof ClusterChange.TermOpened opened) {
      return Optional.of(opened.group());
    }
    if (change instanceof ClusterChange.PrimaryChosen chosen) {
      return Optional.of(chosen.group());
    }
    if (change instanceof ClusterChange.PrimaryHandedOver handed) {
      return Optional.of(handed.group());
    }
    return Optional.empty();
  }
}
