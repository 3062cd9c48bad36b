package org.streamcourse.connection.member;

import java.util.ArrayDeque;
import java.util.Deque;
import org.streamcourse.version.image.TenantId;

/** Open links that no session uses; the one that was used last is handed out first. */
final class IdleLinks {
  private final Deque<MemberLink> links = new ArrayDeque<>();

  boolean isEmpty() {
    return links.isEmpty();
  }

  /** Whether one of them serves a request. */
  boolean serves(LinkRequest request) {
    for (MemberLink link : links) {
      if (request.isServedBy(link.tenant())) {
        return true;
      }
    }
    return false;
  }

  /** Number of links of a tenant. */
  int of(TenantId tenant) {
    int count = 0;
    for (MemberLink link : links) {
      count += link.tenant().equals(tenant) ? 1 : 0;
    }
    return count;
  }

  void add(MemberLink link) {
    links.addFirst(link);
  }

  void remove(MemberLink link) {
    links.remove(link);
  }

  /** Takes the link that has been idle for the longest time; null when there is none. */
  MemberLink takeOldest() {
    return links.pollLast();
  }

  /**
   * Takes a link that serves a request: one that has its session's values already, else one without
   * values, so that the fewest commands are needed.
   *
   * @param request wish of a tenant's session
   * @return link, or null when there is none
   */
  MemberLink take(LinkRequest request) {
    MemberLink plain = null;
    MemberLink other = null;
    for (MemberLink link : links) {
      if (!request.isServedBy(link.tenant())) {
        continue;
      }
      if (link.hasValues(request.sessionValues())) {
        links.remove(link);
        return link;
      }
      plain = plain == null && link.isPlain() ? link : plain;
      other = other == null ? link : other;
    }
    MemberLink chosen = plain == null ? other : plain;
    links.remove(chosen);
    return chosen;
  }
}
