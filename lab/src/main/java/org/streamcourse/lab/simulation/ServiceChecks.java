package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.TenantId;

/**
 * What callers and members of a simulated service have seen, checked as it happens: fresh reads,
 * single effects, true refusals, whole transactions, drains, configuration.
 */
final class ServiceChecks {
  /** Time after the answer to a member that leaves from which it must get no new work. */
  static final long DRAIN_MILLIS = 7_000;

  /** Time after the answer to an operator from which a document must be in force. */
  static final long APPLY_MILLIS = 4_000;

  private static final int SHOWN_EVENTS = 60;

  /** One write in the log of a member. */
  record LogEntry(long term, String statement, long session) {}

  private record Limit(double rate, long sinceMillis) {}

  private record Acknowledged(LogEntry entry, long atMillis) {}

  private final LongSupplier clock;
  private final FaultCounter checks = new FaultCounter();
  private final List<String> violations = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final List<Acknowledged> acknowledged = new ArrayList<>();
  private final Set<LogEntry> dropped = new HashSet<>();
  private final Map<String, AnswerCode> refused = new HashMap<>();
  private final Map<String, Long> drainedAt = new HashMap<>();
  private final Map<TenantId, Limit> limits = new HashMap<>();
  private final Map<TenantId, Deque<Long>> operations = new HashMap<>();
  private final Map<String, Long> takenAwayAt = new HashMap<>();
  private final Map<AnswerCode, Long> outcomes = new HashMap<>();
  private long longestWriteGapMillis;
  private long refusedConnections;
  private long highestAcknowledgedDocument = -1;
  private long acknowledgedDocumentAt;

  ServiceChecks(LongSupplier clock) {
    this.clock = clock;
  }

  List<String> violations() {
    return violations;
  }

  FaultCounter checks() {
    return checks;
  }

  List<String> lastEvents() {
    return events.subList(Math.max(0, events.size() - SHOWN_EVENTS), events.size());
  }

  long count(AnswerCode code) {
    return outcomes.getOrDefault(code, 0L);
  }

  long countEvents(String word) {
    return events.stream().filter(text -> text.contains(word)).count();
  }

  void event(String text) {
    events.add(clock.getAsLong() + " " + text);
  }

  private void check(String invariant, boolean holds, String detail) {
    checks.count(invariant);
    if (!holds) {
      violations.add(clock.getAsLong() + " " + invariant + ": " + detail);
    }
  }

  // ---- callers ----

  void answered(String statement, AnswerCode code) {
    outcomes.merge(code, 1L, Long::sum);
    if (code.hasNoEffect()) {
      refused.put(statement, code);
    }
  }

  void signature(String statement, String signature, String expectedPrefix) {
    check(
        "answer-is-the-members",
        signature.startsWith(expectedPrefix + statement + '/'),
        statement + " was answered with " + signature);
  }

  /** The longest time between two acknowledged writes, from the first one on. */
  long longestWriteGapMillis() {
    return longestWriteGapMillis;
  }

  void writeAcknowledged(LogEntry entry) {
    if (!acknowledged.isEmpty()) {
      long since = acknowledged.get(acknowledged.size() - 1).atMillis();
      longestWriteGapMillis = Math.max(longestWriteGapMillis, clock.getAsLong() - since);
    }
    acknowledged.add(new Acknowledged(entry, clock.getAsLong()));
  }

  // ---- members ----

  /** A member refuses a connection that is over its limit. */
  void connectionRefused() {
    refusedConnections++;
  }

  long refusedConnections() {
    return refusedConnections;
  }

  /** A member runs a read that its caller sent at a time. */
  void read(
      String member,
      List<LogEntry> log,
      String statement,
      RouteConsistency consistency,
      long sentMillis,
      long stalenessMillis,
      long session) {
    Set<LogEntry> present = new HashSet<>(log);
    for (Acknowledged each : acknowledged) {
      boolean old =
          consistency == RouteConsistency.PRIMARY
              ? each.atMillis() < sentMillis
              : each.atMillis() < sentMillis - stalenessMillis;
      boolean own =
          consistency == RouteConsistency.SESSION
              && each.entry().session() == session
              && each.atMillis() < sentMillis;
      if ((old || own) && !dropped.contains(each.entry())) {
        check(
            "read-is-fresh",
            present.contains(each.entry()),
            statement + " at " + member + " misses " + each.entry());
      }
    }
  }

  void committed(LogEntry entry, List<LogEntry> log) {
    long times = log.stream().filter(each -> each.statement().equals(entry.statement())).count();
    check("write-runs-once", times <= 1, entry.statement() + " is in the log " + times + " times");
    check(
        "refused-is-not-kept",
        !refused.containsKey(entry.statement()),
        entry.statement() + " was committed though " + refused.get(entry.statement()));
  }

  /** A member leads with a log; what callers could not see since a former change stays away. */
  void promoted(String member, List<LogEntry> log) {
    List<LogEntry> back = log.stream().filter(dropped::contains).toList();
    check("dropped-stays-dropped", back.isEmpty(), member + " leads with dropped writes " + back);
  }

  void droppedByPromotion(List<LogEntry> entries, boolean synchronous) {
    dropped.addAll(entries);
    for (LogEntry entry : entries) {
      boolean told = acknowledged.stream().anyMatch(each -> each.entry().equals(entry));
      check(
          "acknowledged-is-kept",
          !synchronous || !told,
          entry + " was acknowledged and is not in the promoted log");
    }
  }

  void sessionValues(String statement, Map<String, String> expected, Map<String, String> found) {
    check(
        "session-is-its-own",
        expected.equals(found),
        statement + " ran with " + found + " in place of " + expected);
  }

  /** A member runs a statement over a connection that was opened for a tenant. */
  void tenant(String statement, TenantId expected, TenantId found) {
    check(
        "runs-for-its-tenant",
        expected.equals(found),
        statement + " of " + expected + " ran over a connection of " + found);
  }

  /** A document without a key was acknowledged. */
  void keyTakenAway(String key) {
    takenAwayAt.putIfAbsent(key, clock.getAsLong());
  }

  /** A member runs a statement of a caller who showed a key at a proxy. */
  void keyInForce(String statement, String key, boolean inTouch) {
    Long since = takenAwayAt.get(key);
    check(
        "key-is-in-force",
        since == null || !inTouch || clock.getAsLong() - since <= APPLY_MILLIS,
        statement + " ran although its key was taken away at " + since);
  }

  /** A lower limit of a tenant was acknowledged. */
  void limitLowered(TenantId tenant, double rate) {
    limits.put(tenant, new Limit(rate, clock.getAsLong()));
  }

  /** A member runs the first statement of an operation. */
  void operation(TenantId tenant, String statement, QuotaSettings settings) {
    Deque<Long> ran = operations.computeIfAbsent(tenant, any -> new ArrayDeque<>());
    long now = clock.getAsLong();
    ran.addLast(now);
    while (now - ran.peekFirst() >= settings.windowMillis()) {
      ran.pollFirst();
    }
    Limit limit = limits.get(tenant);
    if (limit != null && now - limit.sinceMillis() > APPLY_MILLIS + settings.windowMillis()) {
      double nominal = limit.rate() * settings.windowMillis() / 1_000 + limit.rate();
      double bound = nominal * (1 + settings.slackShare()) + settings.slackOperations();
      check(
          "limit-holds",
          ran.size() <= bound,
          statement + " is number " + ran.size() + " of " + tenant + " in a window, of " + bound);
    }
  }

  void ownTransaction(String statement, String expected, String found) {
    check(
        "transactions-never-mix",
        expected.equals(found),
        statement + " ran in " + found + " in place of " + expected);
  }

  void drainAcknowledged(String member) {
    drainedAt.putIfAbsent(member, clock.getAsLong());
  }

  /** A proxy that is cut off from the controllers can't know that a member leaves. */
  void newWork(String member, String statement, boolean inTouch) {
    Long since = drainedAt.get(member);
    check(
        "leaving-gets-no-work",
        since == null || !inTouch || clock.getAsLong() - since <= DRAIN_MILLIS,
        statement + " came to " + member + ", which left at " + since);
  }

  // ---- configuration ----

  void documentAcknowledged(long version) {
    if (version > highestAcknowledgedDocument) {
      highestAcknowledgedDocument = version;
      acknowledgedDocumentAt = clock.getAsLong();
    }
  }

  /** A node that hears the controllers has a document in force. */
  void documentInForce(String node, long version) {
    boolean due = clock.getAsLong() - acknowledgedDocumentAt > APPLY_MILLIS;
    check(
        "document-in-force",
        !due || version >= highestAcknowledgedDocument,
        node + " has " + version + " in place of " + highestAcknowledgedDocument);
  }

  /** A read of the document that was sent at a time. */
  void documentRead(long version, long sentMillis) {
    check(
        "document-read-is-newest",
        sentMillis < acknowledgedDocumentAt || version >= highestAcknowledgedDocument,
        "read " + version + " after " + highestAcknowledgedDocument);
  }

  void order(long fence, Set<Long> seen) {
    check("fence-is-its-own", seen.add(fence), "fence " + fence + " was used before");
  }

  void progress(boolean holds, String detail) {
    check("serves-again", holds, detail);
  }

  void taskFailed(String host, RuntimeException thrown) {
    violations.add(clock.getAsLong() + " task-failed: " + host + " " + thrown);
    thrown.printStackTrace();
  }
}
