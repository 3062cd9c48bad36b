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

/** Records the responses that the callers of one run receive; thread-safe. */
public final class Journal {
  /**
   * An acknowledged write.
   *
   * @param database database
   * @param sentAtNanos time at which the write was sent
   * @param atNanos time at which the acknowledgment arrived
   * @param position the session's floor after the acknowledgment
   */
  public record Acknowledged(
      String database, long sentAtNanos, long atNanos, TermPosition position) {}

  /**
   * An answered read.
   *
   * @param database database
   * @param startNanos time at which the read was sent
   * @param floor lowest log position that the read had to observe
   */
  public record Read(String database, long startNanos, TermPosition floor) {}

  /**
   * A read of a booking whose commit was acknowledged to the reading session.
   *
   * @param booking the booking's id
   * @param found number of rows found
   */
  public record OwnRead(String booking, int found) {}

  /**
   * A read whose staleness is known.
   *
   * @param database database
   * @param ageMillis time since the first acknowledged change that the read missed
   * @param limitMillis staleness limit of the caller
   */
  public record AgedRead(String database, long ageMillis, long limitMillis) {}

  /**
   * A request that a proxy answered with an error.
   *
   * @param request request id in the error
   * @param sqlState SQLSTATE
   * @param message error message
   * @param atNanos time at which the error arrived
   */
  public record FailedRequest(String request, String sqlState, String message, long atNanos) {}

  private static final long MAX_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<String, WriteOutcome> writes = new ConcurrentHashMap<>();
  private final Collection<Acknowledged> acknowledged = new ConcurrentLinkedQueue<>();
  private final Collection<OwnRead> ownReads = new ConcurrentLinkedQueue<>();
  private final Collection<AgedRead> agedReads = new ConcurrentLinkedQueue<>();
  private final Collection<FailedRequest> failedRequests = new ConcurrentLinkedQueue<>();
  private final Collection<Read> reads = new ConcurrentLinkedQueue<>();
  private final Histogram readMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram writeMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram refusalMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final AtomicLong staleReads = new AtomicLong();
  private final AtomicLong readErrors = new AtomicLong();
  private final Map<String, AtomicLong> errors = new ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();

  void acknowledged(
      String id, String database, long startNanos, long endNanos, TermPosition position) {
    writes.put(id, WriteOutcome.ACKNOWLEDGED);
    acknowledged.add(new Acknowledged(database, startNanos, endNanos, position));
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

  void staleRead(String description) {
    staleReads.incrementAndGet();
    violation(description);
  }

  void error(String sqlState, String message) {
    String key = sqlState + " " + message.lines().findFirst().orElse("");
    errors.computeIfAbsent(key, any -> new AtomicLong()).incrementAndGet();
  }

  synchronized void violation(String description) {
    violations.add(description);
  }

  /**
   * Returns the violations of a guarantee.
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
   * @return reads with the number of rows found
   */
  public List<OwnRead> ownReads() {
    return List.copyOf(ownReads);
  }

  /**
   * Returns the reads whose staleness is known.
   *
   * @return reads with staleness and limit
   */
  public List<AgedRead> agedReads() {
    return List.copyOf(agedReads);
  }

  /**
   * Returns the requests that a proxy answered with an error.
   *
   * @return failed requests
   */
  public List<FailedRequest> failedRequests() {
    return List.copyOf(failedRequests);
  }

  /**
   * Returns the number of stale reads.
   *
   * @return reads that missed a write of their own session or exceeded the staleness limit
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
   * Returns the errors that callers received.
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
   * Returns the latencies of refused writes.
   *
   * @return microseconds
   */
  public Histogram refusalMicros() {
    return refusalMicros;
  }

  /** Resets the latencies of reads and acknowledged writes, as after a warm-up. */
  public void resetLatencies() {
    readMicros.reset();
    writeMicros.reset();
  }
}
