package org.streamcourse.connection.member;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** Open links that no session uses; the one that was used last is handed out first. */
final class IdleLinks {
  private final Deque<MemberLink> links = new ArrayDeque<>();

  boolean isEmpty() {
    return links.isEmpty();
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
   * Takes a link for a session: one that has its values already, else one without values, so that
   * the fewest commands are needed.
   *
   * @param values values of the session
   * @return link, or null when there is none
   */
  MemberLink take(Map<String, String> values) {
    MemberLink plain = null;
    for (MemberLink link : links) {
      if (link.hasValues(values)) {
        links.remove(link);
        return link;
      }
      plain = plain == null && link.isPlain() ? link : plain;
    }
    MemberLink chosen = plain == null ? links.peekFirst() : plain;
    links.remove(chosen);
    return chosen;
  }
}
