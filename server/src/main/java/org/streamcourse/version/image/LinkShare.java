package org.streamcourse.version.image;

import java.util.List;

/**
 * A node's part of the connections and slots that a member has.
 *
 * @param role what the node does for the member
 * @param links most links that the node may have
 * @param slots commands that the node may have under way at the member; 0 when it need not count
 *     them
 * @param holders nodes to ask when it may have none, the one to ask first in front
 * @param standIns nodes to ask while none of the holders can be asked, the nearest in front
 * @param standInLinks most links that the node may have while it stands in for the holders; 0 when
 *     it may not
 */
public record LinkShare(
    Role role,
    int links,
    int slots,
    List<String> holders,
    List<String> standIns,
    int standInLinks) {
  /** For a node that need not count what is under way at a member. */
  static final int UNCOUNTED_SLOTS = 0;

  /** What a node does for a member. */
  public enum Role {
    /** It has an equal part like every other node, or is one of a fleet with equal holders. */
    SHARER,
    /** It holds the member's connections and shares out its slots, alone. */
    OWNER,
    /** It watches the member, and takes over while the owner can't be asked. */
    STANDBY,
    /** It has no connections, and asks the holders. */
    ASKER
  }

  /** Makes the lists unmodifiable. */
  public LinkShare {
    holders = List.copyOf(holders);
    standIns = List.copyOf(standIns);
  }

  /**
   * Creates the share of a node in a fleet in which every node holds connections.
   *
   * @param links most links that the node may have
   * @param others nodes to ask when it gets none
   * @return share
   */
  public static LinkShare ofEveryNode(int links, List<String> others) {
    return new LinkShare(Role.SHARER, links, UNCOUNTED_SLOTS, others, List.of(), 0);
  }

  /**
   * Creates the share of a node that does nothing for a member.
   *
   * @return share without links
   */
  public static LinkShare none() {
    return new LinkShare(Role.ASKER, 0, 0, List.of(), List.of(), 0);
  }

  /**
   * Tells whether the member's connections are with one owner, so that the holders are asked in
   * their order whoever the tenant is, and a refusal of the first for want of room is final.
   *
   * @return false where holders have equal parts
   */
  public boolean isOwned() {
    return role != Role.SHARER;
  }
}
