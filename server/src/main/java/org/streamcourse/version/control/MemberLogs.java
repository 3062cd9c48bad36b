package org.streamcourse.version.control;

import java.util.stream.Collectors;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Log positions of a service's members, as nodes have reported them to the leader.
 *
 * <p>Record offsets continue over all terms. A change of primary drops the records that the new
 * primary's log lacks; an unreachable member keeps such records until it connects to the new
 * primary. So the positions of two members are comparable only when one log is a prefix of the
 * other: a former primary at 1:98 is not ahead of a primary at 2:89, nor of a primary at 1:88 that
 * has not written yet.
 */
final class MemberLogs {
  private final NodeRegistry registry;

  MemberLogs(NodeRegistry registry) {
    this.registry = registry;
  }

  /** Returns the latest position of a member's log that any node has reported. */
  TermPosition received(ServiceImage service, MemberId id) {
    return registry.latestReceived(service.name(), id.value());
  }

  long newestTerm(ServiceImage service) {
    return service.all().stream()
        .mapToLong(member -> received(service, member.id()).term())
        .max()
        .orElse(0);
  }

  /**
   * Returns the term of the last record of the primary's log; if that is unknown, the newest term
   * of any log.
   */
  long lastTerm(ServiceImage service) {
    long known = received(service, service.primary()).term();
    return known > 0 ? known : newestTerm(service);
  }

  /**
   * Returns whether a member's log is known to be a prefix of the present primary's: the member was
   * not primary before, or has records of a later term than its own as primary, or its log ends at
   * or before the position of the primary in the same term.
   */
  boolean follows(ServiceImage service, MemberId id) {
    Long formerTerm = service.formerPrimaries().get(id);
    if (formerTerm == null) {
      return true;
    }
    TermPosition end = received(service, id);
    TermPosition primary = received(service, service.primary());
    boolean within = end.term() == primary.term() && primary.reaches(end);
    return end.term() > formerTerm || (end.term() > 0 && within);
  }

  /** Returns the latest known position of each member, as input of a decision. */
  String describe(ServiceImage service) {
    return service.all().stream()
        .map(member -> describe(service, member.id()))
        .collect(Collectors.joining(" "));
  }

  private String describe(ServiceImage service, MemberId id) {
    String position = id + "=" + received(service, id);
    return follows(service, id) ? position : position + "(may hold dropped records)";
  }
}
