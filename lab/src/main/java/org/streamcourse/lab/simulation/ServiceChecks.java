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
 * Checks the observations of callers and members of a simulated service as they are made: freshness
 * of reads, effects of writes, refusals, isolation of sessions and transactions, drains and limits.
 */
final class ServiceChecks {
  /** Time after the acknowledgement of a member's drain from which it must get no new work. */
  static final long DRAIN_GRACE_MILLIS = 7_000;

  /** Time after the acknowledgement of a document from which it must be in force. */
  static final long APPLY_MILLIS = 4_000;

  private static final int EXCERPT_EVENTS = 60;

  /** One write in a member's log. */
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
  private final Map<String, Long> revokedAt = new HashMap<>();
  private final Map<AnswerCode, Long> outcomes = new HashMap<>();
  private long longestWriteGapMillis;
  private long refusedConnections;
  private final DocumentChecks documents;

  ServiceChecks(LongSupplier clock) {
    this.clock = clock;
    this.documents = new DocumentChecks(clock, this::check);
  }

  DocumentChecks documents() {
    return documents;
  }

  List<String> violations() {
    return violations;
  }

  FaultCounter checks() {
    return checks;
  }

  List<String> lastEvents() {
    return events.subList(Math.max(0, events.size() - EXCERPT_EVENTS), events.size());
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

  /** Returns the longest time between two consecutive acknowledged writes. */
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

  /** Counts a connection that a member refuses because it is over the member's limit. */
  void connectionRefused() {
    refusedConnections++;
  }

  long refusedConnections() {
    return refusedConnections;
  }

  /**
   * Checks that a read at a member returns the acknowledged writes that its consistency requires.
   */
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
        entry.statement()
            + " was committed but had been refused with "
            + refused.get(entry.statement()));
  }

  /** Checks a promoted member's log: writes dropped by an earlier promotion must not return. */
  void promoted(String member, List<LogEntry> log) {
    List<LogEntry> returned = log.stream().filter(dropped::contains).toList();
    check(
        "dropped-stays-dropped",
        returned.isEmpty(),
        member + " was promoted with dropped writes " + returned);
  }

  void droppedByPromotion(List<LogEntry> entries, boolean synchronous) {
    dropped.addAll(entries);
    for (LogEntry entry : entries) {
      boolean wasAcknowledged = acknowledged.stream().anyMatch(each -> each.entry().equals(entry));
      check(
          "acknowledged-is-kept",
          !synchronous || !wasAcknowledged,
          entry + " was acknowledged but is not in the promoted log");
    }
  }

  void sessionValues(String statement, Map<String, String> expected, Map<String, String> found) {
    check(
        "session-is-its-own",
        expected.equals(found),
        statement + " ran with " + found + " instead of " + expected);
  }

  /**
   * Checks that the connection on which a member runs a statement belongs to the caller's tenant.
   */
  void tenant(String statement, TenantId expected, TenantId found) {
    check(
        "runs-for-its-tenant",
        expected.equals(found),
        statement + " of " + expected + " ran over a connection of " + found);
  }

  /** Records that a document without this key was acknowledged. */
  void keyRevoked(String key) {
    revokedAt.putIfAbsent(key, clock.getAsLong());
  }

  /** Checks a statement that a member runs for a caller that connected with this key. */
  void keyInForce(String statement, String key, boolean confirmed) {
    Long since = revokedAt.get(key);
    check(
        "key-is-in-force",
        since == null || !confirmed || clock.getAsLong() - since <= APPLY_MILLIS,
        statement + " ran although its key was revoked at " + since);
  }

  /** Records that a lower limit of a tenant was acknowledged. */
  void limitLowered(TenantId tenant, double rate) {
    limits.put(tenant, new Limit(rate, clock.getAsLong()));
  }

  /** Checks the tenant's limit when a member runs the first statement of an operation. */
  void operation(TenantId tenant, String statement, QuotaSettings settings) {
    Deque<Long> started = operations.computeIfAbsent(tenant, any -> new ArrayDeque<>());
    long now = clock.getAsLong();
    started.addLast(now);
    while (now - started.peekFirst() >= settings.windowMillis()) {
      started.pollFirst();
    }
    Limit limit = limits.get(tenant);
    if (limit != null && now - limit.sinceMillis() > APPLY_MILLIS + settings.windowMillis()) {
      double nominal = limit.rate() * settings.windowMillis() / 1_000 + limit.rate();
      double bound = nominal * (1 + settings.slackShare()) + settings.slackOperations();
      check(
          "limit-holds",
          started.size() <= bound,
          statement
              + " is operation "
              + started.size()
              + " of "
              + tenant
              + " in a window, limit "
              + bound);
    }
  }

  void ownTransaction(String statement, String expected, String found) {
    check(
        "transactions-never-mix",
        expected.equals(found),
        statement + " ran in " + found + " instead of " + expected);
  }

  void drainAcknowledged(String member) {
    drainedAt.putIfAbsent(member, clock.getAsLong());
  }

  /** Checks new work at a draining member; a proxy without confirmation can't know of the drain. */
  void newWork(String member, String statement, boolean confirmed) {
    Long since = drainedAt.get(member);
    check(
        "leaving-gets-no-work",
        since == null || !confirmed || clock.getAsLong() - since <= DRAIN_GRACE_MILLIS,
        statement + " was sent to " + member + ", which drains since " + since);
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
