package org.streamcourse.request.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.streamcourse.version.image.TermPosition;

/**
 * Samples of the primary's log position, each with the time at which its request was sent.
 *
 * <p>Invariant: every commit acknowledged before the request of a sample was sent is at or before
 * the sample's position, or was dropped by a later change of primary. Therefore a member that has
 * reached a sample requested less than a limit ago shows everything acknowledged longer ago than
 * that limit. Times are of this node's monotonic clock; no times of different nodes are compared.
 */
public final class PrimaryPositions {
  private static final long RETENTION_MILLIS = 10_000;

  /** Least time between two samples that are kept. */
  private static final long MIN_INTERVAL_MILLIS = 20;

  private record Sample(long requestedMillis, long receivedMillis, TermPosition position) {}

  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Adds a sample. The answer must show that the member was primary when it answered.
   *
   * @param requestedMillis time at which the statement was sent
   * @param receivedMillis time at which the answer arrived
   * @param position log position in the answer
   */
  public void add(long requestedMillis, long receivedMillis, TermPosition position) {
    Sample last = samples.peekLast();
    if (last != null && requestedMillis - last.requestedMillis() < MIN_INTERVAL_MILLIS) {
      return;
    }
    samples.addLast(new Sample(requestedMillis, receivedMillis, position));
    while (requestedMillis - samples.peekFirst().requestedMillis() > RETENTION_MILLIS) {
      samples.pollFirst();
    }
  }

  /**
   * Finds the lowest position that shows every commit acknowledged longer ago than an age.
   *
   * @param now current time
   * @param ageMillis the age
   * @return position, or null when no sample is recent enough
   */
  public TermPosition floor(long now, long ageMillis) {
    for (Sample sample : samples) {
      if (now - sample.requestedMillis() <= ageMillis) {
        return sample.position();
      }
    }
    return null;
  }

  /**
   * Finds how long the primary's log is known to have reached a position.
   *
   * @param position the position
   * @param now current time
   * @return milliseconds since the request of the first sample at or after the position; 0 without
   *     such a sample
   */
  public long knownForMillis(TermPosition position, long now) {
    for (Sample sample : samples) {
      if (sample.position().reaches(position)) {
        return now - sample.requestedMillis();
      }
    }
    return 0;
  }

  /**
   * Finds the newest position that was known at a time. Every later request to the primary is
   * answered with this position or a later one, unless the primary has changed.
   *
   * @param millis the time
   * @return position, or {@link TermPosition#ZERO} when none was known
   */
  TermPosition knownAt(long millis) {
    TermPosition known = TermPosition.ZERO;
    for (Sample sample : samples) {
      if (sample.receivedMillis() <= millis) {
        known = known.max(sample.position());
      }
    }
    return known;
  }

  /**
   * Returns the newest position.
   *
   * @return position, or {@link TermPosition#ZERO} before the first sample
   */
  public TermPosition newest() {
    return samples.isEmpty() ? TermPosition.ZERO : samples.peekLast().position();
  }
}
