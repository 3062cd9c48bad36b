package org.streamcourse.connection.member;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.streamcourse.version.image.TenantId;

/**
 * The links to one member: this node's own, from the beginning of their opening to their end, and
 * which of these and of those through other nodes are in use.
 *
 * <p>All methods run on the proxy's worker.
 */
final class LinkPool {
  private final Set<MemberLink> links = new LinkedHashSet<>();
  private final LinksInUse inUse = new LinksInUse();
  private final IdleLinks idle = new IdleLinks();
  private long handedOver;

  /** Number of this node's own links, also of those that are being opened. */
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

  /** Number of idle links of a tenant. */
  int idleOf(TenantId tenant) {
    return idle.of(tenant);
  }

  /** Links that ended so that another tenant could have one. */
  long handedOver() {
    return handedOver;
  }

  /** Time at which the oldest command without an answer was sent on an own link. */
  long oldestUnansweredMillis() {
    return MemberLink.oldestUnansweredMillis(links);
  }

  /** A link is being opened. */
  void add(MemberLink link) {
    links.add(link);
  }

  /** A link has ended; returns whether it was an own one that still counted. */
  boolean remove(MemberLink link) {
    idle.remove(link);
    return links.remove(link);
  }

  /** Whether an idle link serves a request. */
  boolean serves(LinkRequest request) {
    return idle.serves(request);
  }

  /** Takes an idle link that serves a request; null when there is none. */
  MemberLink take(LinkRequest request) {
    return idle.take(request);
  }

  void addIdle(MemberLink link) {
    idle.add(link);
  }

  /** Ends the idle link that is needed least, in favor of another tenant. */
  boolean endLeastNeeded() {
    MemberLink leastNeeded = idle.takeLeastNeeded();
    if (leastNeeded == null) {
      return false;
    }
    links.remove(leastNeeded);
    leastNeeded.close();
    handedOver++;
    return true;
  }

  /** Closes idle links until no more than some stand. */
  void closeIdleBeyond(int most) {
    while (!idle.isEmpty() && links.size() > most) {
      idle.takeLeastNeeded().close();
    }
  }

  void closeAll() {
    List.copyOf(links).forEach(MemberLink::close);
  }
}
