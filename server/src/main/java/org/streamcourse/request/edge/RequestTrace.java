package org.streamcourse.request.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.streamcourse.version.image.TermPosition;

/**
 * Attempts of a session's current request, so that a failure can be logged with the attempts that
 * led to it. Only the latest attempts are kept; they are formatted only if the request fails.
 *
 * <p>All methods run on the session's worker.
 */
public final class RequestTrace {
  /** Number of attempts kept; bounds the log lines of one failed request. */
  private static final int MAX_ATTEMPTS = 12;

  /**
   * An attempt that did not lead to an answer.
   *
   * @param member member chosen to run the request, empty when none was chosen
   * @param gateway node to which the request was sent, empty when it was not sent
   * @param step step at which the attempt ended
   * @param outcome refusal, or cause of the break
   * @param floor lowest log position that the request had to observe
   * @param applied log position that the member had applied, zero when it is not known
   * @param term term of the group in the image that the attempt used
   * @param imageVersion version of the image in force when the attempt ended
   * @param startedMillis start, on the worker's clock
   * @param endedMillis end, on the worker's clock
   */
  public record Attempt(
      String member,
      String gateway,
      String step,
      String outcome,
      TermPosition floor,
      TermPosition applied,
      long term,
      long imageVersion,
      long startedMillis,
      long endedMillis) {}

  private final Deque<Attempt> attempts = new ArrayDeque<>();
  private int omitted;
  private long startedMillis;

  /** Discards the attempts of the previous request; called when a request starts. */
  void begin(long nowMillis) {
    attempts.clear();
    omitted = 0;
    startedMillis = nowMillis;
  }

  void add(Attempt attempt) {
    if (attempts.size() == MAX_ATTEMPTS) {
      attempts.removeFirst();
      omitted++;
    }
    attempts.addLast(attempt);
  }

  /** Adds an attempt for which no member was chosen. */
  void addWithoutTarget(
      String why, TermPosition floor, long term, long imageVersion, long nowMillis) {
    add(
        new Attempt(
            "",
            "",
            "route",
            why,
            floor,
            TermPosition.ZERO,
            term,
            imageVersion,
            nowMillis,
            nowMillis));
  }

  /**
   * Returns the attempts that are kept.
   *
   * @return attempts, oldest first
   */
  public List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /**
   * Returns the number of earlier attempts that are no longer kept.
   *
   * @return count
   */
  public int omitted() {
    return omitted;
  }

  /**
   * Returns when the request started.
   *
   * @return time on the worker's clock in milliseconds
   */
  public long startedMillis() {
    return startedMillis;
  }
}
