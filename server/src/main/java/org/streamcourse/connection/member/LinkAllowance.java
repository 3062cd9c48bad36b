package org.streamcourse.connection.member;

import org.streamcourse.version.image.LinkShare;

/**
 * How many links to one member this node may have: its agreed part, or for a while that of a node
 * that stands in for the member's holders.
 */
final class LinkAllowance {
  /** Time after the last request of another node for which a node stands in for the holders. */
  private static final long STAND_IN_MILLIS = 2_000;

  private LinkShare share = LinkShare.none();
  private boolean standsIn;
  private long standsInUntilMillis;

  void update(LinkShare agreed) {
    share = agreed;
  }

  /** The agreed part. */
  LinkShare share() {
    return share;
  }

  /** Most links, 0 when this node asks others. */
  int most() {
    return standsIn ? Math.max(share.links(), share.fallbackLinks()) : share.links();
  }

  /** Whether another node is asked first although this one holds links. */
  boolean asksOwnerFirst() {
    return share.role() == LinkShare.Role.STANDBY;
  }

  /** Begins to stand in, or goes on, where it may; returns whether it begins. */
  boolean standIn(long now) {
    standsInUntilMillis = now + STAND_IN_MILLIS;
    boolean begins = !standsIn && share.fallbackLinks() > share.links();
    standsIn |= begins;
    return begins;
  }

  /** Whether nobody has asked this node to stand in for a while though it does. */
  boolean mayEnd(long now) {
    return standsIn && now >= standsInUntilMillis;
  }

  /** Whether links may be left after the end, so that those in use need not be awaited. */
  boolean keepsLinks() {
    return share.links() > 0;
  }

  void end() {
    standsIn = false;
  }
}
