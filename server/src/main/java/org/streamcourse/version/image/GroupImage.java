package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A database group: members that replicate one log.
 *
 * @param name group's name; callers use it as the database name
 * @param term newest term opened for the group
 * @param primary name of the primary in that term; empty while a change of primary is under way
 * @param members members of the group
 * @param rules session rules
 */
public record GroupImage(
    String name, long term, String primary, List<MemberImage> members, GroupRules rules) {
  /** Makes the list unmodifiable. */
  public GroupImage {
    members = List.copyOf(members);
  }

  /**
   * Returns the size of a majority.
   *
   * @return smallest number of members that is a majority
   */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /**
   * Finds a member.
   *
   * @param member member's name
   * @return member, if the group has it
   */
  public Optional<MemberImage> member(String member) {
    return members.stream().filter(each -> each.name().equals(member)).findFirst();
  }

  /**
   * Finds the primary.
   *
   * @return primary; empty while a change of primary is under way
   */
  public Optional<MemberImage> primaryMember() {
    return member(primary);
  }

  /**
   * Replaces the member of the same name.
   *
   * @param changed new state of the member
   * @return changed group
   */
  public GroupImage withMember(MemberImage changed) {
    List<MemberImage> next = new ArrayList<>();
    for (MemberImage each : members) {
      next.add(each.name().equals(changed.name()) ? changed : each);
    }
    return new GroupImage(name, term, primary, next, rules);
  }

  /**
   * Sets term and primary.
   *
   * @param newTerm term
   * @param newPrimary primary's name, empty while it is not chosen
   * @return changed group
   */
  public GroupImage withPrimary(long newTerm, String newPrimary) {
    return new GroupImage(name, newTerm, newPrimary, members, rules);
  }

  /**
   * Sets the rules.
   *
   * @param newRules rules
   * @return changed group
   */
  public GroupImage withRules(GroupRules newRules) {
    return new GroupImage(name, term, primary, members, newRules);
  }
}
