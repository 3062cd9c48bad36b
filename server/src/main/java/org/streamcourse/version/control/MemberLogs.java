package org.streamcourse.version.control;

import java.util.stream.Collectors;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Where the logs of a service's members end, as nodes have told the leader.
 *
 * <p>Records are numbered on over all terms. A change of primary drops what the new primary's log
 * lacks; a member that can't be reached keeps such records until it hears from the new primary. So
 * the places of two members can be compared only when both logs are parts of one: a former primary
 * at 1:98 is not ahead of a primary at 2:89, nor of one at 1:88 that has written nothing yet.
 */
final class MemberLogs {
  private final NodeRegistry registry;

  MemberLogs(NodeRegistry registry) {
    this.registry = registry;
  }

  /** Latest place that any node has seen in a member's log. */
  TermPosition received(ServiceImage service, MemberId id) {
    return registry.latestReceived(service.name(), id.value());
  }

  long newestTerm(ServiceImage service) {
    return service.all().stream()
        .mapToLong(member -> received(service, member.id()).term())
        .max()
        .orElse(0);
  }

  /** Term of the last record of the primary's log; where none is known, the newest of any log. */
  long lastTerm(ServiceImage service) {
    long known = received(service, service.primary()).term();
    return known > 0 ? known : newestTerm(service);
  }

  /**
   * Whether a member's log is known to be a part of the present primary's: it was not primary
   * before, or has records of a later term than it had as primary, or ends at or before the place
   * of a primary of the same term.
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

  /** The latest place known of each member, for the record of decisions. */
  String describe(ServiceImage service) {
    return service.all().stream()
        .map(member -> describe(service, member.id()))
        .collect(Collectors.joining(" "));
  }

  private String describe(ServiceImage service, MemberId id) {
    String place = id + "=" + received(service, id);
    return follows(service, id) ? place : place + "(may hold dropped records)";
  }
}
