package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.streamcourse.lab.workload.Journal.Acknowledged;
import org.streamcourse.lab.workload.WriteComparison;

/** The guarantees that a run checks; each check finds its violations in a run's history. */
enum SoakCheck {
  /** A session sees its own committed bookings, also through another proxy. */
  READ_YOUR_WRITES(
      "read-your-writes",
      history ->
          history.ownReads().stream()
              .filter(read -> read.found() == 0)
              .map(read -> read.booking() + " was not seen by its own session")
              .toList()),

  /** No read returns data older than its caller's staleness limit. */
  STALENESS(
      "staleness",
      history ->
          history.agedReads().stream()
              .filter(read -> read.ageMillis() > read.limitMillis())
              .map(read -> read.database() + " returned data " + read.ageMillis() + " ms old")
              .toList()),

  /** No acknowledged write is lost. */
  ACKNOWLEDGED_IS_KEPT("acknowledged-is-kept", history -> compare(history).lost()),

  /** No write runs twice. */
  AT_MOST_ONCE("at-most-once", history -> compare(history).duplicates()),

  /** No write that was refused as not run has run. */
  NOT_RUN_IS_TRUE("not-run-is-true", history -> compare(history).falseNotRun()),

  /** A write sent after an acknowledgment in one term is not acknowledged in an earlier term. */
  REPLACED_PRIMARY("replaced-primary-acknowledges-nothing", SoakCheck::acknowledgedByReplaced),

  /** No member receives more connections or statements than its limits. */
  MEMBER_LIMITS(
      "member-limits",
      history ->
          history.limitViolations().stream()
              .map(each -> each.member() + ": " + each.logLine())
              .toList()),

  /** An accepted configuration change is not lost. */
  CONFIGURATION_IS_KEPT("configuration-is-kept", SoakCheck::revertedConfiguration),

  /** Every proxy serves every group within the time limit after the last fault. */
  RECOVERY("recovery", SoakCheck::lateRecoveries),

  /** The logs alone explain why a request failed and how it ended. */
  EXPLAINED(
      "explained",
      history ->
          history.explained().stream()
              .filter(each -> !each.isComplete())
              .map(each -> each.request() + " has " + each.steps() + " steps and no end")
              .toList());

  /**
   * Maximum time from the last fault's end until every proxy serves every group. It covers, with a
   * margin each, the start of a process on a busy machine, two changes of primary of 6 s each, and
   * 16 s until a configuration is in force on all nodes.
   */
  static final double RECOVERY_SECONDS = 60;

  private final String label;
  private final Function<SoakHistory, List<String>> finder;

  SoakCheck(String label, Function<SoakHistory, List<String>> finder) {
    this.label = label;
    this.finder = finder;
  }

  /** Returns the check's name in summaries and documentation. */
  String label() {
    return label;
  }

  /** Returns a description of each violation in a history. */
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

  /** Compares each write, in the order of sending, with the highest term acknowledged before. */
  private static void addAcknowledgedByReplaced(List<Acknowledged> writes, List<String> found) {
    List<Acknowledged> answered =
        writes.stream().sorted(Comparator.comparingLong(Acknowledged::atNanos)).toList();
    List<Acknowledged> sent =
        writes.stream().sorted(Comparator.comparingLong(Acknowledged::sentAtNanos)).toList();
    long highestTerm = 0;
    int next = 0;
    for (Acknowledged write : sent) {
      while (answered.get(next).atNanos() < write.sentAtNanos()) {
        highestTerm = Math.max(highestTerm, answered.get(next).position().term());
        next++;
      }
      if (write.position().term() < highestTerm) {
        found.add(
            write.database() + " acknowledged " + write.position() + " after term " + highestTerm);
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
