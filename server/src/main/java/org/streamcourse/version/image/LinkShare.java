package org.streamcourse.version.image;

import java.util.List;

/**
 * A node's part of the connections that a member accepts.
 *
 * @param links most links that the node may have
 * @param holders nodes to ask when it may have none, the one to ask first in front
 * @param standIns nodes to ask while none of the holders can be asked, the nearest in front
 * @param standInLinks most links that the node may have while it stands in for the holders; 0 when
 *     it may not
 */
public record LinkShare(int links, List<String> holders, List<String> standIns, int standInLinks) {
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
    return new LinkShare(links, others, List.of(), 0);
  }

  /**
   * Creates the share of a node that does nothing for a member.
   *
   * @return share without links
   */
  public static LinkShare none() {
    return ofEveryNode(0, List.of());
  }
}
