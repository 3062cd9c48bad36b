package org.streamcourse.connection.member;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.version.image.LinkShare;

/**
 * Limit on this node's own links to one member: its agreed share, or that of a fallback holder
 * while this node is one.
 */
final class LinkAllowance {
  private static final Logger LOG = LoggerFactory.getLogger(LinkAllowance.class);

  /** Time for which a node remains a fallback holder after the last request that needed one. */
  private static final long FALLBACK_MILLIS = 2_000;

  private final String member;
  private LinkShare share = LinkShare.none();
  private boolean fallback;
  private long fallbackUntilMillis;

  /**
   * Creates an allowance of no links.
   *
   * @param member service and member, for logs
   */
  LinkAllowance(String member) {
    this.member = member;
  }

  void update(LinkShare agreed) {
    boolean holds = agreed.role() != LinkShare.Role.ASKER || share.role() != LinkShare.Role.ASKER;
    if (agreed.hasOwner() && holds && agreed.role() != share.role()) {
      LOG.info(
          "role for a member's connections {} {} {} {} {}",
          keyValue("member", member),
          keyValue("role", agreed.role()),
          keyValue("before", share.role()),
          keyValue("links", agreed.links()),
          keyValue("slots", agreed.slots()));
    }
    share = agreed;
  }

  /** Returns the agreed share. */
  LinkShare share() {
    return share;
  }

  /** Returns the maximum number of links; 0 when this node relays its requests to holders. */
  int maxLinks() {
    return fallback ? Math.max(share.links(), share.fallbackLinks()) : share.links();
  }

  /** Returns whether requests go to the owner first although this node may hold links. */
  boolean prefersOwner() {
    return share.role() == LinkShare.Role.STANDBY;
  }

  /** Starts or extends a fallback if the agreed share permits one; returns whether it starts. */
  boolean startFallback(long now) {
    fallbackUntilMillis = now + FALLBACK_MILLIS;
    boolean starts = !fallback && share.fallbackLinks() > share.links();
    fallback |= starts;
    return starts;
  }

  /** Returns whether this node is a fallback holder that no request has needed recently. */
  boolean isFallbackExpired(long now) {
    return fallback && now >= fallbackUntilMillis;
  }

  /**
   * Returns whether the agreed share permits links, so that a fallback may end while some are used.
   */
  boolean hasAgreedLinks() {
    return share.links() > 0;
  }

  void endFallback() {
    fallback = false;
  }
}
