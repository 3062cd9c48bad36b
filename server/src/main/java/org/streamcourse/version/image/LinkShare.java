package org.streamcourse.version.image;

import java.util.List;

/**
 * A node's part of the connections that a member accepts.
 *
 * @param links most links that the node may have
 * @param holders nodes to ask when it may have none, the one to ask first in front
 */
public record LinkShare(int links, List<String> holders) {
  /** Makes the list unmodifiable. */
  public LinkShare {
    holders = List.copyOf(holders);
  }

  /**
   * Creates the share of a node in a fleet in which every node holds connections.
   *
   * @param links most links that the node may have
   * @return share
   */
  public static LinkShare ofEveryNode(int links) {
    return new LinkShare(links, List.of());
  }
}
