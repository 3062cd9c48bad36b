package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.Map;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.TenantId;

/** The links to one member that are in use by sessions. */
final class LinksInUse {
  /** Use of one link: priority of the request and the time of the grant. */
  record Use(int priority, long sinceMillis) {}

  private final Map<MemberLink, Use> uses = new HashMap<>();

  void add(MemberLink link, int priority, long now) {
    uses.put(link, new Use(priority, now));
  }

  /** Removes a link; returns its use, or null when it was not in use. */
  Use remove(MemberLink link) {
    return uses.remove(link);
  }

  int size() {
    return uses.size();
  }

  boolean isEmpty() {
    return uses.isEmpty();
  }

  /** Number of own links that a tenant uses outside a transaction, so that they are free soon. */
  int soonFreeOf(TenantId tenant) {
    int count = 0;
    for (MemberLink link : uses.keySet()) {
      boolean soonFree = !link.isRelayed() && link.state() == SessionState.IDLE;
      count += soonFree && link.tenant().equals(tenant) ? 1 : 0;
    }
    return count;
  }
}
