package org.streamcourse.connection.member;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.version.image.TenantId;

/**
 * The links to one member: this node's own links, from the start of their opening to their end, and
 * the set of own and relayed links that are in use.
 *
 * <p>All methods run on the proxy's worker.
 */
final class LinkPool {
  private static final Logger LOG = LoggerFactory.getLogger(LinkPool.class);

  private final Set<MemberLink> links = new LinkedHashSet<>();
  private final LinksInUse inUse = new LinksInUse();
  private final IdleLinks idle = new IdleLinks();
  private long handedOver;

  /** Returns the number of own links, including those that are being opened. */
  int size() {
    return links.size();
  }

  boolean isEmpty() {
    return links.isEmpty();
  }

  boolean hasIdle() {
    return !idle.isEmpty();
  }

  LinksInUse inUse() {
    return inUse;
  }

  /** Returns the number of idle links of a tenant. */
  int idleOf(TenantId tenant) {
    return idle.of(tenant);
  }

  /** Returns the number of idle links closed to make room for a link of another tenant. */
  long handedOver() {
    return handedOver;
  }

  /** Returns when the oldest unanswered command on an own link was sent. */
  long oldestUnansweredMillis() {
    long oldest = Long.MAX_VALUE;
    for (MemberLink link : links) {
      oldest = Math.min(oldest, link.oldestUnansweredMillis());
    }
    return oldest;
  }

  /** Adds an own link whose opening starts. */
  void add(MemberLink link) {
    links.add(link);
  }

  /**
   * Removes a link that has ended; returns whether it was an own link that was still in the pool.
   */
  boolean remove(MemberLink link) {
    idle.remove(link);
    return links.remove(link);
  }

  /** Returns whether an idle link can serve a request. */
  boolean serves(LinkRequest request) {
    return idle.serves(request);
  }

  /** Removes and returns an idle link that serves a request, null when there is none. */
  MemberLink take(LinkRequest request) {
    return idle.take(request);
  }

  void addIdle(MemberLink link) {
    idle.add(link);
  }

  /** Closes the least needed idle link, to make room for a link of another tenant. */
  boolean closeLeastNeeded() {
    MemberLink leastNeeded = idle.takeLeastNeeded();
    if (leastNeeded == null) {
      return false;
    }
    links.remove(leastNeeded);
    leastNeeded.close();
    handedOver++;
    return true;
  }

  /** Closes idle links while there are more than {@code most} own links. */
  void closeIdleBeyond(int most) {
    while (!idle.isEmpty() && links.size() > most) {
      idle.takeLeastNeeded().close();
    }
  }

  /**
   * Closes the links whose oldest command has been unanswered for too long, and the idle links that
   * may have gone silent with them.
   *
   * @param now worker time in milliseconds
   */
  void closeSilent(long now) {
    long sinceMillis = Long.MAX_VALUE;
    for (MemberLink link : List.copyOf(links)) {
      long overdueSince = link.outstanding().overdueSinceMillis(now);
      if (overdueSince != Long.MAX_VALUE) {
        sinceMillis = Math.min(sinceMillis, overdueSince);
        LOG.warn("closes a link to {}: an answer is overdue", link.member());
        link.close("the member did not answer in time");
      }
    }
    closeIdleUnansweredSince(sinceMillis);
  }

  /** Closes the idle links over which nothing was answered since a time, MAX_VALUE for none. */
  void closeIdleUnansweredSince(long sinceMillis) {
    if (sinceMillis == Long.MAX_VALUE) {
      return;
    }
    idle.takeUnansweredSince(sinceMillis).forEach(MemberLink::close);
  }

  void closeAll() {
    List.copyOf(links).forEach(MemberLink::close);
  }
}
