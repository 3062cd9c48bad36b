package org.streamcourse.version.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.TermPosition;

/** State that nodes have reported to the leader during this leadership; not replicated. */
final class NodeRegistry {
  /** Newest state of one node. */
  static final class NodeState {
    private final Map<String, MemberReport> reports = new TreeMap<>();
    private final Map<String, Long> answeredMillis = new TreeMap<>();
    private final Set<String> changedGroups = new TreeSet<>();
    private long incarnation;
    private long lastHeartbeatMillis = NEVER;
    private long reportedMillis = NEVER;
    private long returnedMillis = NEVER;
    private long version;
    private long heldVersion;
    private long sequence;
    private boolean leaving;
    private int sessions;
    private boolean complete;

    long lastHeartbeatMillis() {
      return lastHeartbeatMillis;
    }

    long version() {
      return version;
    }

    long heldVersion() {
      return heldVersion;
    }

    int sessions() {
      return sessions;
    }

    boolean isLeaving() {
      return leaving;
    }

    /** Returns whether a complete set of reports was received during this leadership. */
    boolean isComplete() {
      return complete;
    }

    /**
     * Returns the groups with a member whose report changed in the newest heartbeat other than by
     * its log positions.
     */
    Set<String> changedGroups() {
      return changedGroups;
    }

    Optional<MemberReport> report(String group, String member) {
      return Optional.ofNullable(reports.get(key(group, member)));
    }

    private long answeredMillis(String group, String member) {
      return answeredMillis.getOrDefault(key(group, member), NEVER);
    }
  }

  /**
   * Time within which a heartbeat with a lower sequence number counts as delivered out of order;
   * after a longer time it shows that the node has restarted and begun a new sequence. Above the
   * latency of a message, below the start time of a process.
   */
  private static final long REORDERED_MILLIS = 300;

  /**
   * Time without a heartbeat after which the next one counts as the node's return; three heartbeat
   * intervals.
   */
  private static final long AWAY_MILLIS = 1_500;

  /**
   * Time after a node's return in which its reports of unreachable members are ignored, since they
   * describe the other side of a partition. Above the 700 ms within which the node has tried the
   * member again (300 ms between attempts in MemberLinks, 400 ms for a connection in LinkOpenings)
   * and reported the result.
   */
  private static final long SETTLING_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final Comparator<MemberReport> BY_REACH_AND_TERM =
      Comparator.comparing(MemberReport::reachable).thenComparing(report -> report.status().term());

  private final Map<String, NodeState> states = new TreeMap<>();
  private long firstHeartbeatMillis = NEVER;

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  private static Set<String> keys(List<MemberReport> reports) {
    return reports.stream()
        .map(report -> key(report.group(), report.member()))
        .collect(Collectors.toSet());
  }

  /** Handles a heartbeat; returns false when it comes from a superseded incarnation. */
  boolean onHeartbeat(NodeHeartbeat heartbeat, long now, boolean complete) {
    NodeState state = states.computeIfAbsent(heartbeat.node().name(), any -> new NodeState());
    long incarnation = heartbeat.node().incarnation();
    if (incarnation < state.incarnation) {
      return false;
    }
    if (incarnation > state.incarnation) {
      state.reports.clear();
      state.answeredMillis.clear();
      state.complete = false;
      state.incarnation = incarnation;
    }
    boolean reordered =
        heartbeat.sequence() < state.sequence && now - state.lastHeartbeatMillis < REORDERED_MILLIS;
    recordReturn(state, now);
    state.lastHeartbeatMillis = now;
    if (reordered) {
      return true;
    }
    state.reportedMillis = now;
    state.sequence = heartbeat.sequence();
    state.version = heartbeat.version();
    state.heldVersion = heartbeat.heldVersion();
    state.leaving = heartbeat.leaving();
    state.sessions = heartbeat.sessions();
    state.complete |= complete;
    state.changedGroups.clear();
    if (heartbeat.all()) {
      state.reports.keySet().retainAll(keys(heartbeat.reports()));
      state.answeredMillis.keySet().retainAll(state.reports.keySet());
    }
    for (MemberReport report : heartbeat.reports()) {
      MemberReport before = state.reports.put(key(report.group(), report.member()), report);
      if (before == null || !before.hasSameRole(report)) {
        state.changedGroups.add(report.group());
      }
    }
    return true;
  }

  /**
   * Stores the status that a member returned to one of its gateways in response to an order. It
   * counts like a report in a heartbeat, which may be lost, but not as a heartbeat of the gateway.
   */
  void onOrderAnswer(String gateway, MemberReport answer, long now) {
    NodeState state = states.get(gateway);
    if (state == null) {
      return;
    }
    String key = key(answer.group(), answer.member());
    MemberReport before = state.reports.get(key);
    if (before == null || answer.status().term() >= before.status().term()) {
      state.reports.put(key, answer);
      state.answeredMillis.put(key, now);
    }
  }

  /**
   * Records the return of a node. During the first {@link #AWAY_MILLIS} of a leadership all nodes
   * are new to the leader, which does not count as a return.
   */
  private void recordReturn(NodeState state, long now) {
    if (firstHeartbeatMillis == NEVER) {
      firstHeartbeatMillis = now;
    }
    boolean leadershipIsNew = now - firstHeartbeatMillis < AWAY_MILLIS;
    if (!leadershipIsNew && now - state.lastHeartbeatMillis > AWAY_MILLIS) {
      state.returnedMillis = now;
    }
  }

  Optional<NodeState> state(String node) {
    return Optional.ofNullable(states.get(node));
  }

  void forget(String node) {
    states.remove(node);
  }

  void clear() {
    states.clear();
    firstHeartbeatMillis = NEVER;
  }

  /** Returns the number of nodes that have this version or a later one in force. */
  long countWithVersion(long version) {
    return states.values().stream().filter(state -> state.version >= version).count();
  }

  /**
   * Returns the freshest report about a member among the given gateways with a heartbeat within the
   * given time. Reports of a reachable member come first, then reports of a higher term, since a
   * member's term never decreases; of two reports with the same term the later one is fresher.
   */
  Optional<MemberReport> freshReport(
      Iterable<String> gateways, String group, String member, long now, long maxAgeMillis) {
    MemberReport best = null;
    long bestReportedMillis = NEVER;
    for (String gateway : gateways) {
      NodeState state = states.get(gateway);
      if (state == null) {
        continue;
      }
      long answeredMillis = state.answeredMillis(group, member);
      boolean stale = now - Math.max(state.lastHeartbeatMillis, answeredMillis) > maxAgeMillis;
      MemberReport report = state.report(group, member).orElse(null);
      if (stale || report == null) {
        continue;
      }
      long reportedMillis = Math.max(state.reportedMillis, answeredMillis);
      int order = best == null ? 1 : BY_REACH_AND_TERM.compare(report, best);
      if (order > 0 || (order == 0 && reportedMillis > bestReportedMillis)) {
        best = report;
        bestReportedMillis = reportedMillis;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Reachability of a member as reported by the nodes that may have connections to it and whose
   * heartbeats are recent. Nodes that have just returned and report the member as unreachable are
   * left out.
   *
   * @param observers number of these nodes
   * @param reachable number of them that report the member as reachable and whose heartbeat is
   *     within the shorter age limit for such reports
   * @param unreachable number of them that report the member as unreachable
   */
  record MemberReachability(int observers, int reachable, int unreachable) {}

  MemberReachability reachabilityOf(
      String group,
      String member,
      long now,
      long maxAgeMillis,
      long reachableMaxAgeMillis,
      Predicate<String> observes) {
    int observers = 0;
    int reachable = 0;
    int unreachable = 0;
    for (Map.Entry<String, NodeState> each : states.entrySet()) {
      NodeState state = each.getValue();
      if (now - state.lastHeartbeatMillis > maxAgeMillis || !observes.test(each.getKey())) {
        continue;
      }
      MemberReport report = state.report(group, member).orElse(null);
      boolean reportsUnreachable = report != null && !report.reachable();
      if (reportsUnreachable && now - state.returnedMillis < SETTLING_MILLIS) {
        continue;
      }
      observers++;
      if (report != null && report.reachable()) {
        reachable += now - state.lastHeartbeatMillis <= reachableMaxAgeMillis ? 1 : 0;
      } else if (report != null) {
        unreachable++;
      }
    }
    return new MemberReachability(observers, reachable, unreachable);
  }

  /** Returns the latest position of a member's log that any node has reported. */
  TermPosition latestReceived(String group, String member) {
    return states.values().stream()
        .flatMap(state -> state.report(group, member).stream())
        .map(report -> report.status().received())
        .reduce(TermPosition.ZERO, TermPosition::max);
  }
}
