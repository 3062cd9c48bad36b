package org.streamcourse.request.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.streamcourse.version.image.TermPosition;

/**
 * What was tried for the present request of a session, so that a failure can be told with all that
 * led to it. Only the last attempts are kept; nothing is formatted unless the request fails.
 *
 * <p>All methods run on the session's worker.
 */
public final class RequestTrace {
  /** Attempts that are kept; bounds the lines that one failed request writes. */
  private static final int KEPT = 12;

  /**
   * An attempt that did not lead to an answer.
   *
   * @param member member that was to run the request, empty when none was chosen
   * @param gateway node that was asked, empty when none was
   * @param step step at which it ended
   * @param outcome refusal, or what broke
   * @param floor place that the request had to see
   * @param applied place that the member had applied, zero when it did not tell
   * @param term term of the group in the image that the attempt rested on
   * @param imageVersion version of that image
   * @param startedMillis begin, on the worker's clock
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

  /** Forgets what was tried, since a request starts. */
  void begin(long nowMillis) {
    attempts.clear();
    omitted = 0;
    startedMillis = nowMillis;
  }

  void add(Attempt attempt) {
    if (attempts.size() == KEPT) {
      attempts.removeFirst();
      omitted++;
    }
    attempts.addLast(attempt);
  }

  /**
   * Returns what was tried last.
   *
   * @return attempts, oldest first
   */
  public List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /**
   * Returns the number of earlier attempts that were not kept.
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
