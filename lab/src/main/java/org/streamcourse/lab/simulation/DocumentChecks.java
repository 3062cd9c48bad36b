package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.RoutingDocument;

/**
 * Checks the routing documents that operators send, read back and see in force. Operators may send
 * two contents under one version, former documents and invalid ones.
 */
final class DocumentChecks {
  /** Counts a check of an invariant and records its violation. */
  interface Checker {
    void check(String invariant, boolean holds, String detail);
  }

  private final LongSupplier clock;
  private final Checker checker;
  private final TreeMap<Long, List<RoutingDocument>> sent = new TreeMap<>();
  private final Map<Long, RoutingDocument> contents = new HashMap<>();
  private final Map<String, Long> inForce = new HashMap<>();

  /** Highest acknowledged version from each time on. */
  private final TreeMap<Long, Long> acknowledged = new TreeMap<>();

  private long lastReadSentMillis = -1;

  DocumentChecks(LongSupplier clock, Checker checker) {
    this.clock = clock;
    this.checker = checker;
  }

  // ---- operators ----

  /** Records a document before it is sent for the first time. */
  void sent(RoutingDocument document) {
    sent.computeIfAbsent(document.version(), any -> new ArrayList<>()).add(document);
  }

  /** Checks the answer to a sent document. */
  void answered(RoutingDocument document, ServiceCall.Status status) {
    boolean valid = document.problem().isEmpty();
    if (status == ServiceCall.Status.REFUSED) {
      checker.check("valid-document-is-taken", !valid, "refused " + document.source());
    } else if (status == ServiceCall.Status.DONE) {
      checker.check("invalid-document-is-refused", valid, "acknowledged " + document.source());
      if (valid && document.version() > highestAcknowledged()) {
        acknowledged.put(clock.getAsLong(), document.version());
      }
    }
  }

  private long highestAcknowledged() {
    return acknowledged.isEmpty() ? -1 : acknowledged.lastEntry().getValue();
  }

  /** Returns the highest version that was acknowledged no later than at a time. */
  private long acknowledgedAt(long millis) {
    Map.Entry<Long, Long> entry = acknowledged.floorEntry(millis);
    return entry == null ? -1 : entry.getValue();
  }

  /** Checks a document that a read returned. */
  void read(String source, long sentMillis) {
    RoutingDocument found =
        validDocuments().filter(each -> each.source().equals(source)).findFirst().orElse(null);
    checker.check("document-read-was-sent", found != null, "read '" + source + "'");
    if (found == null) {
      return;
    }
    checkContent("a read", found.withoutSource());
    lastReadSentMillis = Math.max(lastReadSentMillis, sentMillis);
    long due = acknowledgedAt(sentMillis);
    checker.check(
        "document-read-is-newest",
        found.version() >= due,
        "read document " + found.version() + " after " + due);
  }

  /** Checks at the end that the acknowledged documents can still be read. */
  void readableSince(long millis) {
    checker.check(
        "document-is-read-back",
        lastReadSentMillis >= millis,
        "the last answered read was sent at " + lastReadSentMillis);
  }

  // ---- proxies ----

  /** Checks a document that an incarnation of a proxy brings into force. */
  void inForce(String incarnation, RoutingDocument document) {
    if (!document.isPresent()) {
      return;
    }
    RoutingDocument content = document.withoutSource();
    boolean known = validDocuments().anyMatch(each -> each.withoutSource().equals(content));
    checker.check(
        "document-in-force-was-sent", known, incarnation + " has " + document + ", never sent");
    checkContent(incarnation, content);
    Long before = inForce.put(incarnation, document.version());
    checker.check(
        "document-never-goes-back",
        before == null || before <= document.version(),
        incarnation + " goes back from " + before + " to " + document.version());
  }

  private void checkContent(String where, RoutingDocument content) {
    RoutingDocument first = contents.putIfAbsent(content.version(), content);
    checker.check(
        "version-has-one-content",
        first == null || first.equals(content),
        where + " has another content of version " + content.version());
  }

  /** Checks the version of the document in force at a node that has long been confirmed. */
  void stableInForce(String node, long version) {
    long due = acknowledgedAt(clock.getAsLong() - ServiceChecks.APPLY_MILLIS - 1);
    checker.check(
        "document-in-force",
        version >= due,
        node + " has document " + version + " instead of " + due);
  }

  /**
   * Checks that a proxy accepts or refuses a database as a document allows that is not older than
   * the time in which documents come into force.
   */
  void databaseAnswered(String node, String database, boolean accepted, long sentMillis) {
    long due = acknowledgedAt(sentMillis - ServiceChecks.APPLY_MILLIS - 1);
    boolean allowed =
        due < 0
            || validDocuments()
                .filter(each -> each.version() >= due)
                .anyMatch(each -> each.route(database).isPresent() == accepted);
    checker.check(
        "database-is-as-documented",
        allowed,
        node + (accepted ? " accepted " : " refused ") + database + " after document " + due);
  }

  private Stream<RoutingDocument> validDocuments() {
    return sent.values().stream().flatMap(List::stream).filter(each -> each.problem().isEmpty());
  }
}
