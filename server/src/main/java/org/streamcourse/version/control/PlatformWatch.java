package org.streamcourse.version.control;

import java.util.Set;
import java.util.TreeSet;
import org.streamcourse.version.image.ClusterChange.MemberDrained;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;

/**
 * The leader's reaction to the platform's list of machines.
 *
 * <p>The list is delayed, so it is only a hint to drain early and never shows that a machine is up.
 * A member that is listed as leaving is drained once each time it appears in the list, after a
 * planned change if it is primary; only an operator restores it. A node that is listed as leaving
 * gets no allowances as long as it is listed. A machine that is missing from the list causes no
 * action.
 */
final class PlatformWatch {
  /** Actions of the controller. */
  interface Actions {
    void drain(MemberDrained change, String address);

    /** Makes another member primary; called at each check until this has happened. */
    void handOver(GroupImage group, String address);
  }

  private final Actions actions;
  private final Set<String> drained = new TreeSet<>();
  private Set<String> leaving = Set.of();

  PlatformWatch(Actions actions) {
    this.actions = actions;
  }

  /** Forgets the drained members when a leadership begins; the list stays. */
  void restart() {
    drained.clear();
  }

  /**
   * Sets the machines that are listed as leaving.
   *
   * @param addresses their addresses, as {@code IP:PORT} of a member or of a node's peer links
   */
  void setLeaving(Set<String> addresses) {
    leaving = Set.copyOf(addresses);
    drained.retainAll(leaving);
  }

  boolean isLeaving(NodeImage node) {
    return leaving.contains(node.host() + ':' + node.port());
  }

  /** Drains the members that are listed as leaving. */
  void check(ClusterImage image) {
    if (leaving.isEmpty()) {
      return;
    }
    for (GroupImage group : image.groups().values()) {
      for (MemberImage member : group.members()) {
        String address = member.host() + ':' + member.port();
        if (!leaving.contains(address) || drained.contains(address)) {
          continue;
        }
        if (group.primary().equals(member.name())) {
          actions.handOver(group, address);
          continue;
        }
        drained.add(address);
        if (!member.draining()) {
          actions.drain(new MemberDrained(group.name(), member.name(), true), address);
        }
      }
    }
  }
}
