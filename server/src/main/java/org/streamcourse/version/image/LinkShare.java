package org.streamcourse.version.image;

import java.util.List;

/**
 * A node's share of a member's connections and slots.
 *
 * @param role the node's role for the member
 * @param links maximum number of member links that the node may have
 * @param slots maximum number of commands that the node may have running at the member; {@link
 *     #UNCOUNTED_SLOTS} when it does not count them
 * @param holders nodes to which the node relays statements that it cannot run on a link of its own,
 *     in the order in which they are tried
 * @param fallbackHolders nodes to which the node relays while no holder can be reached, nearest
 *     first
 * @param fallbackLinks maximum number of member links that the node may have while it is a fallback
 *     holder; 0 if it may not be one
 */
public record LinkShare(
    Role role,
    int links,
    int slots,
    List<String> holders,
    List<String> fallbackHolders,
    int fallbackLinks) {
  /** Value of {@link #slots} for a node that does not count the commands running at a member. */
  static final int UNCOUNTED_SLOTS = 0;

  /** Role of a node for a member. */
  public enum Role {
    /**
     * Any node where connections are divided into equal shares, among all nodes or some holders.
     */
    SHARER,
    /** The one holder that has most of the member's connections and assigns its slots. */
    OWNER,
    /** A holder that watches the member and takes over while the owner cannot be reached. */
    STANDBY,
    /** A node without connections to the member, which relays statements to the holders. */
    ASKER
  }

  /** Makes the lists unmodifiable. */
  public LinkShare {
    holders = List.copyOf(holders);
    fallbackHolders = List.copyOf(fallbackHolders);
  }

  /**
   * Creates the share of a node in a fleet in which every node holds connections.
   *
   * @param links maximum number of member links that the node may have
   * @param others nodes to which the node relays when it has no free link
   * @return share
   */
  public static LinkShare ofEveryNode(int links, List<String> others) {
    return new LinkShare(Role.SHARER, links, UNCOUNTED_SLOTS, others, List.of(), 0);
  }

  /**
   * Creates the share of a node without connections or known holders.
   *
   * @return share without links
   */
  public static LinkShare none() {
    return new LinkShare(Role.ASKER, 0, 0, List.of(), List.of(), 0);
  }

  /**
   * Returns whether one owner has the member's connections. The holders are then tried in their
   * order for every tenant, and a refusal by the first one for lack of capacity is final.
   *
   * @return false where holders have equal shares
   */
  public boolean hasOwner() {
    return role != Role.SHARER;
  }
}
