package org.streamcourse.lab.workload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.streamcourse.version.image.TermPosition;

/** Everything that the callers of one run noted; safe from any thread. */
public final class Journal {
  /**
   * An acknowledged write.
   *
   * @param database database
   * @param sentAtNanos when it was sent
   * @param atNanos when its answer arrived
   * @param place newest commit that its session knew of with the answer
   */
  public record Acknowledged(String database, long sentAtNanos, long atNanos, TermPosition place) {}

  /**
   * An answered read.
   *
   * @param database database
   * @param startNanos when it was sent
   * @param floor place that it had to see
   */
  public record Read(String database, long startNanos, TermPosition floor) {}

  /**
   * A read of a booking that the reading session had been told is committed.
   *
   * @param booking the booking's id
   * @param found how often it was there
   */
  public record OwnRead(String booking, int found) {}

  /**
   * A read whose age is known.
   *
   * @param database database
   * @param ageMillis time since the first acknowledged change that it missed
   * @param limitMillis oldest answer that the caller accepted
   */
  public record AgedRead(String database, long ageMillis, long limitMillis) {}

  /**
   * A request that the product answered with an error.
   *
   * @param request id that the answer told
   * @param sqlState SQLSTATE
   * @param message text
   * @param atNanos when the answer arrived
   */
  public record FailedRequest(String request, String sqlState, String message, long atNanos) {}

  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;

  private final Map<String, WriteOutcome> writes = new ConcurrentHashMap<>();
  private final Collection<Acknowledged> acknowledged = new ConcurrentLinkedQueue<>();
  private final Collection<OwnRead> ownReads = new ConcurrentLinkedQueue<>();
  private final Collection<AgedRead> agedReads = new ConcurrentLinkedQueue<>();
  private final Collection<FailedRequest> failedRequests = new ConcurrentLinkedQueue<>();
  private final Collection<Read> reads = new ConcurrentLinkedQueue<>();
  private final Histogram readMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final Histogram writeMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final Histogram refusalMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final AtomicLong staleReads = new AtomicLong();
  private final AtomicLong readErrors = new AtomicLong();
  private final Map<String, AtomicLong> errors = new ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();

  void acknowledged(
      String id, String database, long startNanos, long endNanos, TermPosition place) {
    writes.put(id, WriteOutcome.ACKNOWLEDGED);
    acknowledged.add(new Acknowledged(database, startNanos, endNanos, place));
    writeMicros.recordValue(Math.min(MAX_MICROS, (endNanos - startNanos) / 1_000));
  }

  void notAcknowledged(String id, WriteOutcome outcome, long startNanos, long endNanos) {
    writes.put(id, outcome);
    long micros = Math.min(MAX_MICROS, (endNanos - startNanos) / 1_000);
    if (outcome == WriteOutcome.NOT_RUN) {
      refusalMicros.recordValue(micros);
    }
  }

  void read(String database, long startNanos, long endNanos, TermPosition floor) {
    reads.add(new Read(database, startNanos, floor));
    readMicros.recordValue(Math.min(MAX_MICROS, (endNanos - startNanos) / 1_000));
  }

  void ownRead(String booking, int found) {
    ownReads.add(new OwnRead(booking, found));
  }

  void agedRead(String database, long ageMillis, long limitMillis) {
    agedReads.add(new AgedRead(database, ageMillis, limitMillis));
  }

  void requestFailed(String request, String sqlState, String message) {
    failedRequests.add(new FailedRequest(request, sqlState, message, System.nanoTime()));
  }

  void readFailed() {
    readErrors.incrementAndGet();
  }

  void staleRead(String what) {
    staleReads.incrementAndGet();
    violation(what);
  }

  void error(String sqlState, String message) {
    String key = sqlState + " " + message.lines().findFirst().orElse("");
    errors.computeIfAbsent(key, any -> new AtomicLong()).incrementAndGet();
  }

  synchronized void violation(String what) {
    violations.add(what);
  }

  /**
   * Returns what broke a rule.
   *
   * @return descriptions
   */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns the writes.
   *
   * @return outcome by id
   */
  public Map<String, WriteOutcome> writes() {
    return writes;
  }

  /**
   * Counts writes with an outcome.
   *
   * @param outcome the outcome
   * @return number of writes
   */
  public long count(WriteOutcome outcome) {
    return writes.values().stream().filter(each -> each == outcome).count();
  }

  /**
   * Returns the acknowledged writes in the order of their answers.
   *
   * @return acknowledged writes
   */
  public List<Acknowledged> acknowledged() {
    return List.copyOf(acknowledged);
  }

  /**
   * Returns the answered reads.
   *
   * @return reads
   */
  public List<Read> reads() {
    return List.copyOf(reads);
  }

  /**
   * Returns the reads of bookings that the reading session had made.
   *
   * @return reads with what they found
   */
  public List<OwnRead> ownReads() {
    return List.copyOf(ownReads);
  }

  /**
   * Returns the reads whose age is known.
   *
   * @return reads with age and limit
   */
  public List<AgedRead> agedReads() {
    return List.copyOf(agedReads);
  }

  /**
   * Returns the requests that the product answered with an error.
   *
   * @return failed requests
   */
  public List<FailedRequest> failedRequests() {
    return List.copyOf(failedRequests);
  }

  /**
   * Returns the number of stale reads.
   *
   * @return reads that missed an own write or were older than accepted
   */
  public long staleReads() {
    return staleReads.get();
  }

  /**
   * Returns the number of reads that ended with an error.
   *
   * @return failed reads
   */
  public long readErrors() {
    return readErrors.get();
  }

  /**
   * Returns the errors that callers saw.
   *
   * @return count by SQLSTATE and text
   */
  public Map<String, AtomicLong> errors() {
    return errors;
  }

  /**
   * Returns the latencies of reads.
   *
   * @return microseconds
   */
  public Histogram readMicros() {
    return readMicros;
  }

  /**
   * Returns the latencies of acknowledged writes.
   *
   * @return microseconds
   */
  public Histogram writeMicros() {
    return writeMicros;
  }

  /**
   * Returns the time until refusals.
   *
   * @return microseconds
   */
  public Histogram refusalMicros() {
    return refusalMicros;
  }

  /** Starts the latencies anew, as when the time before was a warm-up. */
  public void forgetLatencies() {
    readMicros.reset();
    writeMicros.reset();
  }
}
