package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.streamcourse.lab.workload.Journal.Acknowledged;
import org.streamcourse.lab.workload.WriteComparison;

/** The promises that a run checks; each one finds its violations in the history of a run. */
enum SoakCheck {
  /** A session sees its own committed bookings, also through another proxy. */
  READ_YOUR_WRITES(
      "read-your-writes",
      history ->
          history.ownReads().stream()
              .filter(read -> read.found() == 0)
              .map(read -> read.booking() + " was not seen by its own session")
              .toList()),

  /** No read is older than its caller accepts. */
  STALENESS(
      "staleness",
      history ->
          history.agedReads().stream()
              .filter(read -> read.ageMillis() > read.limitMillis())
              .map(read -> read.database() + " answered " + read.ageMillis() + " ms old")
              .toList()),

  /** Nothing acknowledged is lost. */
  ACKNOWLEDGED_IS_KEPT("acknowledged-is-kept", history -> compare(history).lost()),

  /** Nothing runs twice. */
  AT_MOST_ONCE("at-most-once", history -> compare(history).duplicates()),

  /** A request of which callers were told that it has not run has not. */
  NOT_RUN_IS_TRUE("not-run-is-true", history -> compare(history).falseNotRun()),

  /** Once a term has acknowledged, no earlier term acknowledges what is sent afterwards. */
  REPLACED_PRIMARY("replaced-primary-acknowledges-nothing", SoakCheck::acknowledgedByReplaced),

  /** Members get no more connections and statements than their limits. */
  MEMBER_LIMITS(
      "member-limits",
      history ->
          history.excesses().stream().map(each -> each.member() + ": " + each.what()).toList()),

  /** An accepted configuration does not revert. */
  CONFIGURATION_IS_KEPT("configuration-is-kept", SoakCheck::revertedConfiguration),

  /** Everything serves again in time once the last fault is over. */
  RECOVERY("recovery", SoakCheck::lateRecoveries),

  /** Failed requests are explained by the logs alone. */
  EXPLAINED(
      "explained",
      history ->
          history.explained().stream()
              .filter(each -> !each.isWhole())
              .map(each -> each.request() + " has " + each.steps() + " steps and no end")
              .toList());

  /**
   * Longest time from the last fault's end until every proxy serves every group. It holds the start
   * of a process on a busy machine, two changes of primary of 6 s each, and 16 s until a
   * configuration is in force everywhere, each with room.
   */
  static final double RECOVERY_SECONDS = 60;

  private final String label;
  private final Function<SoakHistory, List<String>> finder;

  SoakCheck(String label, Function<SoakHistory, List<String>> finder) {
    this.label = label;
    this.finder = finder;
  }

  /** Returns the name in summaries and pages. */
  String label() {
    return label;
  }

  /** Finds what breaks this promise. */
  List<String> violations(SoakHistory history) {
    return finder.apply(history);
  }

  private static WriteComparison compare(SoakHistory history) {
    return WriteComparison.of(history.writes(), history.found());
  }

  private static List<String> acknowledgedByReplaced(SoakHistory history) {
    Map<String, List<Acknowledged>> byDatabase = new HashMap<>();
    history
        .acknowledged()
        .forEach(
            each ->
                byDatabase.computeIfAbsent(each.database(), any -> new ArrayList<>()).add(each));
    List<String> found = new ArrayList<>();
    byDatabase.values().forEach(writes -> addAcknowledgedByReplaced(writes, found));
    return found;
  }

  /** Goes through writes as they were sent, with the highest term acknowledged until then. */
  private static void addAcknowledgedByReplaced(List<Acknowledged> writes, List<String> found) {
    List<Acknowledged> answered =
        writes.stream().sorted(Comparator.comparingLong(Acknowledged::atNanos)).toList();
    List<Acknowledged> sent =
        writes.stream().sorted(Comparator.comparingLong(Acknowledged::sentAtNanos)).toList();
    long highestTerm = 0;
    int next = 0;
    for (Acknowledged write : sent) {
      while (answered.get(next).atNanos() < write.sentAtNanos()) {
        highestTerm = Math.max(highestTerm, answered.get(next).place().term());
        next++;
      }
      if (write.place().term() < highestTerm) {
        found.add(
            write.database() + " acknowledged " + write.place() + " after term " + highestTerm);
      }
    }
  }

  private static List<String> revertedConfiguration(SoakHistory history) {
    SoakHistory.Configuration versions = history.configuration();
    return versions.atEnd() >= versions.accepted()
        ? List.of()
        : List.of("version " + versions.accepted() + " was accepted, " + versions.atEnd() + " is");
  }

  private static List<String> lateRecoveries(SoakHistory history) {
    return history.recoverySeconds().entrySet().stream()
        .filter(each -> !(each.getValue() <= RECOVERY_SECONDS))
        .map(each -> each.getKey() + " served after " + each.getValue() + " s")
        .toList();
  }
}
