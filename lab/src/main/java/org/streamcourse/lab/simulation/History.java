package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recorded history of one run, and its checker. An invariant is checked as soon as the event that
 * can violate it is recorded; {@link #checkEnd} checks the invariants of the final state.
 */
final class History {
  /** Outcome of a booking as reported to its caller. */
  enum Outcome {
    ACKNOWLEDGED,
    NOT_RUN,
    UNKNOWN,
    FAILED
  }

  private record Acknowledged(String id, long atMillis) {}

  private static final int EXCERPT_EVENTS = 60;
  private static final Pattern EXPECTED_VERSION = Pattern.compile(" AT VERSION (\\d+)");

  private LongSupplier clock;
  private final FaultCounter checks = new FaultCounter();
  private final List<String> violations = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final Map<String, Outcome> outcomes = new HashMap<>();
  private final Map<String, List<Acknowledged>> acknowledgedBySlot = new HashMap<>();
  private final Map<String, Long> versionByNode = new HashMap<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final Map<String, Long> drainedSince = new HashMap<>();
  private final Map<Long, String> configurationByVersion = new HashMap<>();
  private final Map<String, Long> versionByCommand = new HashMap<>();
  private long reads;
  private long highestAcceptedVersion;

  History(LongSupplier clock) {
    this.clock = clock;
  }

  /** Freezes the time and drops the clock, which would keep the run's whole world reachable. */
  void stopClock() {
    long end = clock.getAsLong();
    clock = () -> end;
  }

  void event(String what) {
    events.add(clock.getAsLong() + " ms: " + what);
  }

  private void check(String invariant, boolean holds, String detail) {
    check(invariant, holds, () -> detail);
  }

  /** Formats the detail only for a violation: details of reads are long. */
  private void check(String invariant, boolean holds, Supplier<String> detail) {
    checks.count(invariant);
    if (!holds) {
      String text = clock.getAsLong() + " ms: " + invariant + ": " + detail.get();
      violations.add(text);
      events.add("VIOLATION " + text);
    }
  }

  /** Records that a task of a process ended with an exception, which is always a violation. */
  void taskFailed(String host, RuntimeException cause) {
    String where = cause.getStackTrace().length == 0 ? "" : " at " + cause.getStackTrace()[0];
    check("no-failed-task", false, host + ": " + cause + where);
  }

  // ---- callers ----

  void bookingEnded(String slot, String id, Outcome outcome) {
    outcomes.put(id, outcome);
    if (outcome == Outcome.ACKNOWLEDGED) {
      acknowledgedBySlot
          .computeIfAbsent(slot, any -> new ArrayList<>())
          .add(new Acknowledged(id, clock.getAsLong()));
    }
  }

  void readEnded(
      String caller,
      String slot,
      List<String> seen,
      Set<String> ownAcknowledged,
      long startMillis,
      long maxStalenessMillis) {
    reads++;
    Set<String> present = new HashSet<>(seen);
    check(
        "at-most-once",
        present.size() == seen.size(),
        () -> slot + " holds a booking twice: " + seen);
    check(
        "read-your-writes",
        present.containsAll(ownAcknowledged),
        () ->
            caller
                + " read "
                + slot
                + " and found "
                + seen
                + " without all of its own "
                + ownAcknowledged);
    List<String> required =
        acknowledgedBySlot.getOrDefault(slot, List.of()).stream()
            .filter(each -> each.atMillis() < startMillis - maxStalenessMillis)
            .map(Acknowledged::id)
            .toList();
    check(
        "staleness",
        present.containsAll(required),
        () -> caller + " read " + slot + " and missed one of " + required);
  }

  void answerChecked(String caller, boolean complete, Supplier<String> detail) {
    check("whole-own-answer", complete, () -> caller + ": " + detail.get());
  }

  void plannedStopAnswer(String caller, boolean allowed, String detail) {
    check("planned-stop", allowed, caller + ": " + detail);
  }

  // ---- members ----

  void statementOnConnection(boolean sameTransaction, String detail) {
    check("no-mixing", sameTransaction, detail);
  }

  void connectionsAt(String member, int open, int limit) {
    check("connection-limit", open <= limit, member + " has " + open + " of " + limit);
  }

  void slotsAt(String member, int running, int limit) {
    check("slot-limit", running <= limit, member + " runs " + running + " of " + limit);
  }

  void drained(String member, boolean draining) {
    if (draining) {
      drainedSince.put(member, clock.getAsLong());
    } else {
      drainedSince.remove(member);
    }
  }

  void unitStarted(String member, long graceMillis) {
    Long since = drainedSince.get(member);
    if (since != null) {
      long after = clock.getAsLong() - since;
      check(
          "drained",
          after <= graceMillis,
          member + " received work " + after + " ms after its drain");
    }
  }

  /** Checks a record that a member has logged: none of its bookings may be reported as not run. */
  void logged(SimRecord record) {
    for (SimRecord.Booking booking : record.bookings()) {
      check(
          "not-run-is-true",
          outcomes.get(booking.id()) != Outcome.NOT_RUN,
          booking.id() + " was reported as not run but is logged at " + record.logPosition());
    }
  }

  // ---- controllers and nodes ----

  void nodeVersion(String node, long version) {
    Long before = versionByNode.put(node, version);
    check(
        "version-never-reverts",
        before == null || version >= before,
        node + " went from version " + before + " to " + version);
  }

  void leader(long term, String identity) {
    String other = leaderByTerm.putIfAbsent(term, identity);
    check(
        "one-leader-a-term",
        other == null || other.equals(identity),
        identity + " and " + other + " are both leader of term " + term);
  }

  void commandAccepted(long version, String command) {
    String other = configurationByVersion.putIfAbsent(version, command);
    check(
        "one-winner-a-version",
        other == null || other.equals(command),
        command + " and " + other + " both made version " + version);
    Long earlier = versionByCommand.putIfAbsent(command, version);
    check(
        "command-runs-once",
        earlier == null || earlier == version,
        command + " made version " + earlier + " and version " + version);
    Matcher expected = EXPECTED_VERSION.matcher(command);
    if (expected.find()) {
      check(
          "one-winner-a-version",
          Long.parseLong(expected.group(1)) == version - 1,
          command + " made version " + version);
    }
    highestAcceptedVersion = Math.max(highestAcceptedVersion, version);
  }

  // ---- end ----

  /** Checks the final log, which all members of the group share after recovery. */
  void checkEnd(List<SimRecord> finalLog, long configurationVersion, List<Long> nodeVersions) {
    Map<String, Integer> count = new HashMap<>();
    finalLog.forEach(
        record -> record.bookings().forEach(booking -> count.merge(booking.id(), 1, Integer::sum)));
    outcomes.forEach(
        (id, outcome) -> {
          int times = count.getOrDefault(id, 0);
          check("at-most-once", times <= 1, id + " is logged " + times + " times");
          if (outcome == Outcome.ACKNOWLEDGED) {
            check(
                "acknowledged-is-kept", times == 1, id + " was acknowledged but is not in the log");
          } else if (outcome == Outcome.NOT_RUN) {
            check("not-run-is-true", times == 0, id + " was reported as not run but is logged");
          }
        });
    check(
        "accepted-is-kept",
        configurationVersion >= highestAcceptedVersion,
        "version "
            + highestAcceptedVersion
            + " was accepted, but the current version is "
            + configurationVersion);
    for (long version : nodeVersions) {
      check(
          "in-force-everywhere",
          version >= highestAcceptedVersion,
          "a node has configuration version " + version + " of " + highestAcceptedVersion);
    }
  }

  void checkProgress(boolean holds, String detail) {
    check("serves-again", holds, detail);
  }

  List<String> violations() {
    return violations;
  }

  FaultCounter checks() {
    return checks;
  }

  long reads() {
    return reads;
  }

  long count(Outcome outcome) {
    return outcomes.values().stream().filter(each -> each == outcome).count();
  }

  List<String> events() {
    return events;
  }

  /** Returns the last events up to the first violation, or the last events of the run. */
  List<String> excerpt() {
    int end = events.size();
    for (int i = 0; i < events.size(); i++) {
      if (events.get(i).startsWith("VIOLATION")) {
        end = i + 1;
        break;
      }
    }
    return events.subList(Math.max(0, end - EXCERPT_EVENTS), end);
  }
}
