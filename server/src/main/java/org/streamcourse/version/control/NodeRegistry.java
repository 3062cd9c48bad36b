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

/** What the leader has heard from nodes since it leads; nothing of it is replicated. */
final class NodeRegistry {
  /** Last words of one node. */
  static final class NodeState {
    private final Map<String, MemberReport> reports = new TreeMap<>();
    private final Map<String, Long> answeredMillis = new TreeMap<>();
    private final Set<String> news = new TreeSet<>();
    private long incarnation;
    private long lastHeardMillis = NEVER;
    private long toldMillis = NEVER;
    private long backSinceMillis = NEVER;
    private long version;
    private long heldVersion;
    private long sequence;
    private boolean leaving;
    private int sessions;
    private boolean complete;

    long lastHeardMillis() {
      return lastHeardMillis;
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

    /** Whether all reports were received since this leadership began. */
    boolean isComplete() {
      return complete;
    }

    /** Groups of which the newest heartbeat told more than that positions moved on. */
    Set<String> groupsWithNews() {
      return news;
    }

    Optional<MemberReport> report(String group, String member) {
      return Optional.ofNullable(reports.get(key(group, member)));
    }

    private long answeredMillis(String group, String member) {
      return answeredMillis.getOrDefault(key(group, member), NEVER);
    }
  }

  /**
   * Time within which a heartbeat with a lower number was overtaken on its way; after a longer one
   * the node has started again and counts anew. Above the way of a message, below a process's
   * start.
   */
  private static final long OVERTAKEN_MILLIS = 300;

  /** Silence after which a node that is heard again has come back; three heartbeats. */
  private static final long AWAY_MILLIS = 1_500;

  /**
   * Time from a node's return in which its word that a member is unreachable does not count: it was
   * formed on the other side of a partition. Above the 700 ms in which a node has tried the member
   * again (300 ms between tries, 400 ms for a connection) and told of it.
   */
  private static final long SETTLING_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final Comparator<MemberReport> BY_REACH_AND_TERM =
      Comparator.comparing(MemberReport::reachable).thenComparing(report -> report.status().term());

  private final Map<String, NodeState> states = new TreeMap<>();
  private long hearingSinceMillis = NEVER;

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  private static Set<String> keys(List<MemberReport> reports) {
    return reports.stream()
        .map(report -> key(report.group(), report.member()))
        .collect(Collectors.toSet());
  }

  /** Takes in a heartbeat; returns false when it comes from a superseded incarnation. */
  boolean heard(NodeHeartbeat heartbeat, long now, boolean allReportsAsked) {
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
    boolean overtaken =
        heartbeat.sequence() < state.sequence && now - state.lastHeardMillis < OVERTAKEN_MILLIS;
    noteReturn(state, now);
    state.lastHeardMillis = now;
    if (overtaken) {
      return true;
    }
    state.toldMillis = now;
    state.sequence = heartbeat.sequence();
    state.version = heartbeat.version();
    state.heldVersion = heartbeat.heldVersion();
    state.leaving = heartbeat.leaving();
    state.sessions = heartbeat.sessions();
    state.complete |= allReportsAsked;
    state.news.clear();
    if (heartbeat.all()) {
      state.reports.keySet().retainAll(keys(heartbeat.reports()));
      state.answeredMillis.keySet().retainAll(state.reports.keySet());
    }
    for (MemberReport report : heartbeat.reports()) {
      MemberReport before = state.reports.put(key(report.group(), report.member()), report);
      if (before == null || !before.hasSameRole(report)) {
        state.news.add(report.group());
      }
    }
    return true;
  }

  /**
   * Takes in what a member said to one of its gateways in answer to an order. A heartbeat that
   * tells the same may be lost, and the answer counts like one; not for the life of the node.
   */
  void answered(String gateway, MemberReport answer, long now) {
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

  /** At first a leader hears all nodes anew, though none of them was away. */
  private void noteReturn(NodeState state, long now) {
    if (hearingSinceMillis == NEVER) {
      hearingSinceMillis = now;
    }
    boolean hearsAllAnew = now - hearingSinceMillis < AWAY_MILLIS;
    if (!hearsAllAnew && now - state.lastHeardMillis > AWAY_MILLIS) {
      state.backSinceMillis = now;
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
    hearingSinceMillis = NEVER;
  }

  /** Number of nodes that have a version, or a later one, in force. */
  long countWithVersion(long version) {
    return states.values().stream().filter(state -> state.version >= version).count();
  }

  /**
   * Freshest report about a member among the given gateways heard within the allowed silence. A
   * member's term never declines; of two words on one term the one that was told later is fresher.
   */
  Optional<MemberReport> freshReport(
      Iterable<String> gateways, String group, String member, long now, long silenceMillis) {
    MemberReport best = null;
    long bestToldMillis = NEVER;
    for (String gateway : gateways) {
      NodeState state = states.get(gateway);
      if (state == null) {
        continue;
      }
      long answeredMillis = state.answeredMillis(group, member);
      boolean silent = now - Math.max(state.lastHeardMillis, answeredMillis) > silenceMillis;
      MemberReport report = state.report(group, member).orElse(null);
      if (silent || report == null) {
        continue;
      }
      long toldMillis = Math.max(state.toldMillis, answeredMillis);
      int order = best == null ? 1 : BY_REACH_AND_TERM.compare(report, best);
      if (order > 0 || (order == 0 && toldMillis > bestToldMillis)) {
        best = report;
        bestToldMillis = toldMillis;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * What the nodes that were lately heard, and may have connections to a member, say of it.
   *
   * @param heardNodes such nodes heard within the allowed silence, but for those that have just
   *     come back and call it unreachable
   * @param reachable those that call it reachable and were heard a moment ago
   * @param unreachable those that call it unreachable and have not just come back
   */
  record Opinion(int heardNodes, int reachable, int unreachable) {}

  Opinion opinionOf(
      String group,
      String member,
      long now,
      long silenceMillis,
      long reachableMillis,
      Predicate<String> observes) {
    int heard = 0;
    int reachable = 0;
    int unreachable = 0;
    for (Map.Entry<String, NodeState> each : states.entrySet()) {
      NodeState state = each.getValue();
      if (now - state.lastHeardMillis > silenceMillis || !observes.test(each.getKey())) {
        continue;
      }
      MemberReport report = state.report(group, member).orElse(null);
      boolean callsUnreachable = report != null && !report.reachable();
      if (callsUnreachable && now - state.backSinceMillis < SETTLING_MILLIS) {
        continue;
      }
      heard++;
      if (report != null && report.reachable()) {
        reachable += now - state.lastHeardMillis <= reachableMillis ? 1 : 0;
      } else if (report != null) {
        unreachable++;
      }
    }
    return new Opinion(heard, reachable, unreachable);
  }

  /** Latest place that any node has seen in a member's log. */
  TermPosition latestReceived(String group, String member) {
    return states.values().stream()
        .flatMap(state -> state.report(group, member).stream())
        .map(report -> report.status().received())
        .reduce(TermPosition.ZERO, TermPosition::max);
  }
}
