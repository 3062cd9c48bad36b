package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A database service whose members register themselves and whose primary is changed by an external
 * promotion agent on the controllers' order.
 *
 * @param name service's name
 * @param primary member last known to be primary; {@link MemberId#NONE} when none is known
 * @param promotion member that the promotion agent has been ordered to make primary; {@link
 *     MemberId#NONE} when no order is open
 * @param fence version of the cluster image at which the last order was recorded; increases with
 *     each order
 * @param members registered members by identity
 * @param departed identities of removed members, oldest first; an identity is never reused
 * @param formerPrimaries members that were replaced as primary, each with the term of its last
 *     known log record at that time; until the member has records of a later term, its log may
 *     contain records that the change of primary has discarded
 */
public record ServiceImage(
    String name,
    MemberId primary,
    MemberId promotion,
    long fence,
    TreeMap<MemberId, RegisteredMember> members,
    List<MemberId> departed,
    TreeMap<MemberId, Long> formerPrimaries) {
  private static final int MAX_DEPARTED = 256;

  /** Makes the list unmodifiable. */
  public ServiceImage {
    departed = List.copyOf(departed);
  }

  /**
   * Creates a service without members.
   *
   * @param name service's name
   * @return empty service
   */
  public static ServiceImage empty(String name) {
    return new ServiceImage(
        name, MemberId.NONE, MemberId.NONE, 0, new TreeMap<>(), List.of(), new TreeMap<>());
  }

  /**
   * Finds a member.
   *
   * @param id member's identity
   * @return member, if it is registered
   */
  public Optional<RegisteredMember> member(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  /**
   * Returns all members.
   *
   * @return members in the order of their identities
   */
  public Collection<RegisteredMember> all() {
    return members.values();
  }

  /**
   * Adds or replaces a member.
   *
   * @param member new state of the member
   * @return changed service
   */
  public ServiceImage withMember(RegisteredMember member) {
    TreeMap<MemberId, RegisteredMember> next = new TreeMap<>(members);
    next.put(member.id(), member);
    return new ServiceImage(name, primary, promotion, fence, next, departed, formerPrimaries);
  }

  /**
   * Removes a member for good.
   *
   * @param id member's identity
   * @return changed service
   */
  public ServiceImage withoutMember(MemberId id) {
    TreeMap<MemberId, RegisteredMember> next = new TreeMap<>(members);
    next.remove(id);
    List<MemberId> nextDeparted = new ArrayList<>(departed);
    nextDeparted.add(id);
    if (nextDeparted.size() > MAX_DEPARTED) {
      nextDeparted.remove(0);
    }
    MemberId nextPrimary = primary.equals(id) ? MemberId.NONE : primary;
    MemberId nextPromotion = promotion.equals(id) ? MemberId.NONE : promotion;
    TreeMap<MemberId, Long> nextFormer = new TreeMap<>(formerPrimaries);
    nextFormer.remove(id);
    return new ServiceImage(
        name, nextPrimary, nextPromotion, fence, next, nextDeparted, nextFormer);
  }

  /**
   * Sets the current primary; this closes an open order.
   *
   * @param id primary's identity
   * @param formerTerm term of the last known log record of the former primary
   * @return changed service
   */
  public ServiceImage withPrimary(MemberId id, long formerTerm) {
    TreeMap<MemberId, Long> nextFormer = new TreeMap<>(formerPrimaries);
    if (members.containsKey(primary) && !primary.equals(id)) {
      nextFormer.put(primary, formerTerm);
    }
    nextFormer.remove(id);
    return new ServiceImage(name, id, MemberId.NONE, fence, members, departed, nextFormer);
  }

  /**
   * Opens an order that a member become primary.
   *
   * @param target member to promote
   * @param newFence version of the cluster image that includes the order
   * @return changed service
   */
  public ServiceImage withPromotion(MemberId target, long newFence) {
    return new ServiceImage(name, primary, target, newFence, members, departed, formerPrimaries);
  }
}
