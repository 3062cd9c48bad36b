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
 * Selects the members to which one read is sent, one after the other.
 *
 * <p>All methods run on the proxy's worker.
 */
final class ReadSearch {
  /**
   * Number of BEHIND answers after which a member is left out. The first corrects the known lag of
   * the member, so that the read then waits for the right time; a second one shows that the
   * member's lag cannot be estimated.
   */
  private static final int MAX_BEHIND_ANSWERS = 2;

  /**
   * A member selected for a read.
   *
   * @param links link pool of the member
   * @param floor lowest log position that the read must observe, and the longest wait for it
   * @param delayMillis delay before a link is requested; 0 for a relayed read, whose holder waits
   *     instead
   */
  record Target(MemberLinks links, ReadFloor floor, long delayMillis) {}

  private final RequestLog log;
  private final StatementContext context;
  private final Set<MemberId> leftOut = new HashSet<>();
  private final Map<MemberId, Integer> behindAnswers = new HashMap<>();

  ReadSearch(RequestLog log, StatementContext context) {
    this.log = log;
    this.context = context;
  }

  void leaveOut(MemberId member) {
    leftOut.add(member);
  }

  /** Records that a member answered BEHIND. For a relayed read, the holder has already retried. */
  void recordBehind(MemberLinks links) {
    MemberId member = links.member().id();
    if (behindAnswers.merge(member, 1, Integer::sum) >= MAX_BEHIND_ANSWERS || !links.holdsLinks()) {
      leaveOut(member);
    }
  }

  /**
   * Finds the next member. Without a usable primary, also selects a member that is expected to
   * reach the floor too late, because the estimate may be wrong.
   *
   * @param members members of the service
   * @param floor lowest log position that the read must observe
   * @param maxWaitMillis longest time for which the read may wait
   * @return target, or null when no remaining member can serve the read in time
   */
  Target next(ServiceMembers members, ReadFloor floor, long maxWaitMillis) {
    List<MemberChoice.Candidate> candidates = members.candidates(leftOut, floor, context.tenant());
    MemberChoice.Chosen choice = MemberChoice.choose(candidates, context.tenant());
    if (choice == null) {
      return null;
    }
    boolean tooLate = choice.chosen().catchUpMillis() > maxWaitMillis;
    if (tooLate && isPrimaryAvailable(members)) {
      return null;
    }
    logLeftOut(members, candidates, choice.chosen());
    MemberLinks links = members.links(choice.chosen().id());
    boolean isOwn = links.holdsLinks() && !tooLate;
    long delay = isOwn ? choice.chosen().catchUpMillis() : 0;
    return new Target(links, members.floorAt(choice, floor, maxWaitMillis), delay);
  }

  private boolean isPrimaryAvailable(ServiceMembers members) {
    MemberLinks primary = members.primary();
    return primary != null && !leftOut.contains(primary.member().id());
  }

  private void logLeftOut(
      ServiceMembers members,
      List<MemberChoice.Candidate> candidates,
      MemberChoice.Candidate chosen) {
    for (MemberChoice.Candidate each : candidates) {
      if (each.isDelayed() && !each.id().equals(chosen.id())) {
        long knownMillis = members.links(each.id()).state().ageMillis();
        log.leftOut(context, each, knownMillis, chosen);
      }
    }
  }
}
