package org.streamcourse.request.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.version.image.MemberId;

/**
 * Which members one read is brought to, one after the other.
 *
 * <p>All methods run on the proxy's worker.
 */
final class ReadSearch {
  /**
   * Answers BEHIND of one member after which it is left out. The first corrects what is known of
   * its lag, so that the read waits for the right time; a second one shows that it is not known.
   */
  private static final int MOST_BEHIND = 2;

  /**
   * A member for a read.
   *
   * @param links links to it
   * @param floor what it must have, and how long the read may wait for that
   * @param holdMillis time after which it is asked; a holder of connections itself waits instead
   */
  record Target(MemberLinks links, ReadFloor floor, long holdMillis) {}

  private final RequestLog log;
  private final StatementContext context;
  private final Set<MemberId> leftOut = new HashSet<>();
  private final Map<MemberId, Integer> behind = new HashMap<>();

  ReadSearch(RequestLog log, StatementContext context) {
    this.log = log;
    this.context = context;
  }

  void leaveOut(MemberId member) {
    leftOut.add(member);
  }

  /** A member answered BEHIND. A holder of connections has asked it again by itself. */
  void wasBehind(MemberLinks links) {
    MemberId member = links.member().id();
    if (behind.merge(member, 1, Integer::sum) >= MOST_BEHIND || !links.holdsLinks()) {
      leaveOut(member);
    }
  }

  /**
   * Finds the next member. Without a usable primary a member is asked also if it is believed to
   * have the floor too late, since what is known may be wrong.
   *
   * @param members members of the service
   * @param floor what the read needs
   * @param mostMillis longest time that the read may wait
   * @return target, or null when none is left that can serve it in time
   */
  Target next(ServiceMembers members, ReadFloor floor, long mostMillis) {
    List<MemberChoice.Candidate> candidates = members.candidates(leftOut, floor, context.tenant());
    MemberChoice.Chosen choice = MemberChoice.choose(candidates, context.tenant());
    if (choice == null) {
      return null;
    }
    boolean tooLate = choice.chosen().catchUpMillis() > mostMillis;
    if (tooLate && mayAskPrimary(members)) {
      return null;
    }
    tellLeftOut(members, candidates, choice.chosen());
    MemberLinks links = members.links(choice.chosen().id());
    boolean holds = links.holdsLinks() && !tooLate;
    long hold = holds ? choice.chosen().catchUpMillis() : 0;
    return new Target(links, members.floorAt(choice, floor, mostMillis), hold);
  }

  private boolean mayAskPrimary(ServiceMembers members) {
    MemberLinks primary = members.primary();
    return primary != null && !leftOut.contains(primary.member().id());
  }

  private void tellLeftOut(
      ServiceMembers members,
      List<MemberChoice.Candidate> candidates,
      MemberChoice.Candidate chosen) {
    for (MemberChoice.Candidate each : candidates) {
      if (each.isHeldBack() && !each.id().equals(chosen.id())) {
        long known = members.links(each.id()).state().ageMillis();
        log.leftOut(context, each, known, chosen);
      }
    }
  }
}
