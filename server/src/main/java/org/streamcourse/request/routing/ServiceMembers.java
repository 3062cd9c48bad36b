package org.streamcourse.request.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.MemberRelay;
import org.streamcourse.connection.member.MemberState;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;

/**
 * State of the members of one service at this node: the link pool and answer times of each member,
 * and the log positions of the primary.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class ServiceMembers {
  private static final double INITIAL_LATENCY_SAME_ZONE_MILLIS = 20;
  private static final double INITIAL_LATENCY_ELSEWHERE_MILLIS = 60;

  /**
   * Least time for which a read may wait for a replica to catch up. A refusal and a second attempt
   * at a member of another region take about as long.
   */
  private static final long MIN_CATCH_UP_WAIT_MILLIS = 40;

  /** Answer times and newest log position of one member. */
  private static final class AnswerStats {
    private final AnswerTimes times;
    private final Map<String, AnswerTimes> timesOfDatabases = new HashMap<>();
    private TermPosition position = TermPosition.ZERO;

    AnswerStats(double initialMillis) {
      times = new AnswerTimes(initialMillis);
    }
  }

  private final Worker worker;
  private final String zone;
  private final Map<MemberId, AnswerStats> answerStats = new HashMap<>();
  private final PrimaryPositions primaryPositions = new PrimaryPositions();
  private final PositionProbe positionProbe;
  private final MemberWatch memberWatch;
  private final ReadRetryBudget retryBudget = new ReadRetryBudget();
  private Map<MemberId, MemberLinks> members = new TreeMap<>();
  private MemberId primary = MemberId.NONE;
  private MemberId promotion = MemberId.NONE;
  private MemberId deposed = MemberId.NONE;

  /** Whether no commit may be acknowledged until the ordered promotion has taken effect. */
  private boolean isFenced;

  private TenantId lastReader = TenantId.NONE;

  ServiceMembers(Worker worker, String zone) {
    this.worker = worker;
    this.zone = zone;
    this.positionProbe = new PositionProbe(worker, this);
    this.memberWatch = new MemberWatch(worker, this);
  }

  /**
   * Applies the agreed members.
   *
   * @param next links to all members
   * @param agreedPrimary the primary, or {@link MemberId#NONE}
   * @param agreedPromotion member that was ordered to become primary, or {@link MemberId#NONE}
   * @param synchronous whether a commit is answered once a replica has received it
   */
  void replace(
      Map<MemberId, MemberLinks> next,
      MemberId agreedPrimary,
      MemberId agreedPromotion,
      boolean synchronous) {
    members.forEach(
        (id, links) -> {
          if (!next.containsKey(id)) {
            links.retire();
          }
        });
    members = new TreeMap<>(next);
    answerStats.keySet().retainAll(members.keySet());
    if (!agreedPrimary.equals(primary)) {
      deposed = MemberId.NONE;
    }
    primary = agreedPrimary;
    promotion = agreedPromotion;
    isFenced = synchronous && promotion.isPresent();
  }

  void retireAll() {
    members.values().forEach(MemberLinks::retire);
  }

  MemberLinks links(MemberId id) {
    return members.get(id);
  }

  /**
   * Returns the links to all members.
   *
   * @return links
   */
  public Collection<MemberLinks> all() {
    return members.values();
  }

  /**
   * Returns the known positions of the primary's log.
   *
   * @return samples
   */
  public PrimaryPositions primaryPositions() {
    return primaryPositions;
  }

  /**
   * Probes the primary's log position over any idle link, or over a link of the tenant when none is
   * idle; {@code onEnd} runs when the probe has ended.
   */
  void probePrimaryPosition(TenantId tenant, Runnable onEnd) {
    positionProbe.start(tenant, onEnd);
  }

  /** Checks the members to which this node has links and sends observations to other nodes. */
  void watch(String service, MemberRelay.ObservationListener listener) {
    memberWatch.check(service, lastReader, listener);
  }

  /**
   * Returns the newest log position in answers of a member.
   *
   * @param id the member
   * @return position, or {@link TermPosition#ZERO} when none is known
   */
  public TermPosition position(MemberId id) {
    AnswerStats stats = answerStats.get(id);
    return stats == null ? TermPosition.ZERO : stats.position;
  }

  /** Returns the budget for sending reads of the service to a second member. */
  ReadRetryBudget retryBudget() {
    return retryBudget;
  }

  // ---- choice ----

  /**
   * Finds the member that is believed to be primary. With synchronous replicas, this is the target
   * of an order as soon as it is agreed: the former primary's replicas are paused, and what it
   * acknowledged nevertheless would be lost.
   *
   * @return link pool of the member, or null when none is known or usable
   */
  MemberLinks primary() {
    boolean replaced = isFenced || primary.equals(deposed);
    MemberLinks known = replaced ? null : usablePrimary(primary);
    return known == null && promotion.isPresent() ? usablePrimary(promotion) : known;
  }

  private MemberLinks usablePrimary(MemberId id) {
    MemberLinks links = members.get(id);
    return links != null && links.isUsableAsPrimary() ? links : null;
  }

  /** Returns whether a member other than the given one is usable. */
  boolean hasOther(MemberId id) {
    return members.values().stream()
        .anyMatch(links -> links.isUsable() && !links.member().id().equals(id));
  }

  /** Returns whether a link pool belongs to the primary of the image. */
  boolean isOfPrimary(MemberLinks links) {
    return links.member().id().equals(primary);
  }

  /** Returns whether a replica can serve reads, now or once it has caught up. */
  boolean hasUsableReplica() {
    return members.values().stream()
        .anyMatch(links -> links.isUsable() && !links.member().id().equals(primary));
  }

  /** Records that a member answered that it is not primary. */
  void markNotPrimary(MemberId id) {
    if (id.equals(primary)) {
      deposed = id;
    }
  }

  /** Records that an answer has shown a member to be primary. */
  void markPrimary(MemberId id) {
    if (id.equals(deposed)) {
      deposed = MemberId.NONE;
    }
  }

  /** Returns the usable members for a read of a tenant, with the current estimates. */
  List<MemberChoice.Candidate> candidates(
      Set<MemberId> excluded, ReadFloor floor, TenantId reader) {
    lastReader = reader;
    List<MemberChoice.Candidate> candidates = new ArrayList<>();
    for (MemberLinks links : members.values()) {
      if (links.isUsable() && !excluded.contains(links.member().id())) {
        candidates.add(candidate(links, floor));
      }
    }
    return candidates;
  }

  private MemberChoice.Candidate candidate(MemberLinks links, ReadFloor floor) {
    MemberId id = links.member().id();
    MemberState known = links.state();
    return new MemberChoice.Candidate(
        id,
        id.equals(primary),
        stats(id).times.expectedMillis(worker.now()),
        links.used(),
        Math.max(links.estimatedWaitMillis(), known.reportedWaitMillis()),
        id.equals(primary) ? 0 : known.estimatedCatchUpMillis(floor),
        known.silentMillis());
  }

  /**
   * Builds the floor of a read.
   *
   * @param position lowest log position that the read must observe
   * @return the position, with the time since the primary is known to have reached it
   */
  ReadFloor floor(TermPosition position) {
    long age = primaryPositions.knownForMillis(position, worker.now());
    return new ReadFloor(position, age, MIN_CATCH_UP_WAIT_MILLIS);
  }

  /** Returns the floor with the longest wait for it at the chosen member. */
  ReadFloor floorAt(MemberChoice.Chosen choice, ReadFloor floor, long maxMillis) {
    double wait = choice.chosen().catchUpMillis() + choice.marginMillis();
    long bounded = Math.round(Math.min(maxMillis, Math.max(MIN_CATCH_UP_WAIT_MILLIS, wait)));
    return new ReadFloor(floor.position(), floor.ageMillis(), bounded);
  }

  // ---- observations ----

  /**
   * Records a log position of the primary.
   *
   * @param sentMillis time at which the statement was sent
   * @param position log position in the answer
   */
  void recordPrimaryPosition(long sentMillis, TermPosition position) {
    long now = worker.now();
    primaryPositions.add(sentMillis, now, position);
    long age = now - sentMillis;
    members.values().forEach(links -> links.state().onPrimaryPosition(position, age));
  }

  /** Records the log position of the primary after a statement that only a primary completes. */
  void recordPrimaryPosition(
      StatementContext context,
      MemberId member,
      long sentMillis,
      TermPosition position,
      RequestLog log) {
    TermPosition known = primaryPositions.knownAt(sentMillis);
    if (!position.reaches(known)) {
      log.lowerPosition(context, member, position, known);
    }
    recordPrimaryPosition(sentMillis, position);
  }

  /** Records the answer time and log position of a member. */
  void recordAnswer(MemberId id, String database, long latencyMillis, TermPosition position) {
    AnswerStats stats = stats(id);
    long now = worker.now();
    stats.times.add(latencyMillis, now);
    timesOf(id, database).add(latencyMillis, now);
    if (position != null) {
      stats.position = stats.position.max(position);
    }
    MemberLinks links = members.get(id);
    if (links != null && links.holdsLinks()) {
      links.state().onAnswer(position);
    }
  }

  /** Returns the answer times of a member for one database name; its statements are similar. */
  AnswerTimes timesOf(MemberId id, String database) {
    AnswerStats stats = stats(id);
    return stats.timesOfDatabases.computeIfAbsent(
        database, any -> new AnswerTimes(initialMillis(members.get(id))));
  }

  /** Records that a member answered that it has not reached a floor. */
  void recordBehind(MemberId id, ReadFloor floor) {
    MemberLinks links = members.get(id);
    if (links != null) {
      links.state().onBehind(floor);
    }
  }

  private AnswerStats stats(MemberId id) {
    return answerStats.computeIfAbsent(id, any -> new AnswerStats(initialMillis(members.get(id))));
  }

  private double initialMillis(MemberLinks links) {
    boolean near = links != null && links.member().zone().equals(zone);
    return near ? INITIAL_LATENCY_SAME_ZONE_MILLIS : INITIAL_LATENCY_ELSEWHERE_MILLIS;
  }
}
