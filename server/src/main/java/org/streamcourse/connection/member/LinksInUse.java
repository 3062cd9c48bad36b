package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.Map;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.TenantId;

/** The links to one member that sessions use. */
final class LinksInUse {
  /** Since when a link is used, and the priority of the request that uses it. */
  record Use(int priority, long sinceMillis) {}

  private final Map<MemberLink, Use> uses = new HashMap<>();

  void add(MemberLink link, int priority, long now) {
    uses.put(link, new Use(priority, now));
  }

  /** Takes a link out; returns its use, or null when it was not used. */
  Use remove(MemberLink link) {
    return uses.remove(link);
  }

  int size() {
    return uses.size();
  }

  boolean isEmpty() {
    return uses.isEmpty();
  }

  /** Number of this node's own links that a tenant uses and that may be free soon. */
  int soonFreeOf(TenantId tenant) {
    int count = 0;
    for (MemberLink link : uses.keySet()) {
      boolean soonFree = !link.isRelayed() && link.state() == SessionState.IDLE;
      count += soonFree && link.tenant().equals(tenant) ? 1 : 0;
    }
    return count;
  }
}
