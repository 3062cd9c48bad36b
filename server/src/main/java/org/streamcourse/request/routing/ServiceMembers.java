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
 * The members of one service as this node sees them: its links to each, how fast each answers, and
 * where the primary's log stood.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class ServiceMembers {
  private static final double FIRST_LATENCY_SAME_ZONE_MILLIS = 20;
  private static final double FIRST_LATENCY_ELSEWHERE_MILLIS = 60;

  /**
   * Least time that a read may wait for a replica before it looks elsewhere: to be refused and to
   * reach another member takes about as long between regions.
   */
  private static final long LEAST_CATCH_UP_WAIT_MILLIS = 40;

  /** What was seen of one member's answers. */
  private static final class Observation {
    private final AnswerTimes times;
    private final Map<String, AnswerTimes> timesOfDatabases = new HashMap<>();
    private TermPosition position = TermPosition.ZERO;

    Observation(double firstMillis) {
      times = new AnswerTimes(firstMillis);
    }
  }

  private final Worker worker;
  private final String zone;
  private final Map<MemberId, Observation> observations = new HashMap<>();
  private final PrimaryPositions primaryPositions = new PrimaryPositions();
  private final PositionProbe positionProbe;
  private final MemberWatch memberWatch;
  private final ReadRetries readRetries = new ReadRetries();
  private Map<MemberId, MemberLinks> members = new TreeMap<>();
  private MemberId primary = MemberId.NONE;
  private MemberId promotion = MemberId.NONE;
  private MemberId deposed = MemberId.NONE;
  private TenantId lastReader = TenantId.NONE;

  ServiceMembers(Worker worker, String zone) {
    this.worker = worker;
    this.zone = zone;
    this.positionProbe = new PositionProbe(worker, this);
    this.memberWatch = new MemberWatch(worker, this);
  }

  void replace(Map<MemberId, MemberLinks> next, MemberId agreedPrimary, MemberId agreedPromotion) {
    members.forEach(
        (id, links) -> {
          if (!next.containsKey(id)) {
            links.retire();
          }
        });
    members = new TreeMap<>(next);
    observations.keySet().retainAll(members.keySet());
    if (!agreedPrimary.equals(primary)) {
      deposed = MemberId.NONE;
    }
    primary = agreedPrimary;
    promotion = agreedPromotion;
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
   * Returns what is known of the primary's log.
   *
   * @return samples
   */
  public PrimaryPositions primaryPositions() {
    return primaryPositions;
  }

  /**
   * Asks where the primary's log stands, over any link, or over one of the tenant where none is
   * idle; {@code next} runs when the question has ended.
   */
  void askPosition(TenantId tenant, Runnable next) {
    positionProbe.ask(tenant, next);
  }

  /** Looks after the members to which this node has links, and tells other nodes of them. */
  void watch(String service, MemberRelay.ObservationListener listener) {
    memberWatch.check(service, lastReader, listener);
  }

  /**
   * Returns the place that a member told last.
   *
   * @param id the member
   * @return place in its log
   */
  public TermPosition position(MemberId id) {
    Observation seen = observations.get(id);
    return seen == null ? TermPosition.ZERO : seen.position;
  }

  /** What reads of the service may be tried a second time. */
  ReadRetries readRetries() {
    return readRetries;
  }

  // ---- choice ----

  /**
   * Finds the member that is believed to be primary.
   *
   * @return its links, or null when none is known or usable
   */
  MemberLinks primary() {
    MemberLinks known = primary.equals(deposed) ? null : usablePrimary(primary);
    return known == null && promotion.isPresent() ? usablePrimary(promotion) : known;
  }

  private MemberLinks usablePrimary(MemberId id) {
    MemberLinks links = members.get(id);
    return links != null && links.isUsableAsPrimary() ? links : null;
  }

  /** Whether another member than one can be asked. */
  boolean hasOther(MemberId id) {
    return members.values().stream()
        .anyMatch(links -> links.isUsable() && !links.member().id().equals(id));
  }

  /** Whether links lead to the member that is agreed to be primary. */
  boolean leadsToPrimary(MemberLinks links) {
    return links.member().id().equals(primary);
  }

  /** Whether a replica takes reads, now or once it has caught up. */
  boolean hasUsableReplica() {
    return members.values().stream()
        .anyMatch(links -> links.isUsable() && !links.member().id().equals(primary));
  }

  /** A member said that it is not primary, though it was believed to be. */
  void notPrimary(MemberId id) {
    if (id.equals(primary)) {
      deposed = id;
    }
  }

  /** A member has shown that it is primary. */
  void isPrimary(MemberId id) {
    if (id.equals(deposed)) {
      deposed = MemberId.NONE;
    }
  }

  /** Members for a read of a tenant, as they are known now. */
  List<MemberChoice.Candidate> candidates(Set<MemberId> without, ReadFloor floor, TenantId reader) {
    lastReader = reader;
    List<MemberChoice.Candidate> candidates = new ArrayList<>();
    for (MemberLinks links : members.values()) {
      if (links.isUsable() && !without.contains(links.member().id())) {
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
        observation(id).times.expectedMillis(worker.now()),
        links.used(),
        Math.max(links.estimatedWaitMillis(), known.reportedWaitMillis()),
        id.equals(primary) ? 0 : known.estimatedCatchUpMillis(floor),
        known.silentMillis());
  }

  /**
   * Tells what a read needs.
   *
   * @param position the place
   * @return the place with its age
   */
  ReadFloor floor(TermPosition position) {
    long age = primaryPositions.knownForMillis(position, worker.now());
    return new ReadFloor(position, age, LEAST_CATCH_UP_WAIT_MILLIS);
  }

  /** What a read needs, and how long it may wait at the chosen member for it. */
  ReadFloor floorAt(MemberChoice.Chosen choice, ReadFloor floor, long mostMillis) {
    double wait = choice.chosen().catchUpMillis() + choice.spareMillis();
    long bounded = Math.round(Math.min(mostMillis, Math.max(LEAST_CATCH_UP_WAIT_MILLIS, wait)));
    return new ReadFloor(floor.position(), floor.ageMillis(), bounded);
  }

  // ---- observations ----

  /**
   * The primary's log stood at a place.
   *
   * @param askedMillis time at which the statement was sent
   * @param position place that it told
   */
  void primaryAt(long askedMillis, TermPosition position) {
    primaryPositions.add(askedMillis, position);
    long age = worker.now() - askedMillis;
    members.values().forEach(links -> links.state().onPrimaryPosition(position, age));
  }

  void answered(MemberId id, String database, long latencyMillis, TermPosition position) {
    Observation seen = observation(id);
    long now = worker.now();
    seen.times.add(latencyMillis, now);
    timesOf(id, database).add(latencyMillis, now);
    if (position != null) {
      seen.position = seen.position.max(position);
    }
    MemberLinks links = members.get(id);
    if (links != null && links.holdsLinks()) {
      links.state().onAnswer(position);
    }
  }

  /** How long a member takes for the statements of one database name, which are of a kind. */
  AnswerTimes timesOf(MemberId id, String database) {
    Observation seen = observation(id);
    return seen.timesOfDatabases.computeIfAbsent(
        database, any -> new AnswerTimes(firstMillis(members.get(id))));
  }

  /** A member said itself that it lacks a place. */
  void behind(MemberId id, ReadFloor floor) {
    MemberLinks links = members.get(id);
    if (links != null) {
      links.state().onBehind(floor);
    }
  }

  private Observation observation(MemberId id) {
    return observations.computeIfAbsent(id, any -> new Observation(firstMillis(members.get(id))));
  }

  private double firstMillis(MemberLinks links) {
    boolean near = links != null && links.member().zone().equals(zone);
    return near ? FIRST_LATENCY_SAME_ZONE_MILLIS : FIRST_LATENCY_ELSEWHERE_MILLIS;
  }
}
