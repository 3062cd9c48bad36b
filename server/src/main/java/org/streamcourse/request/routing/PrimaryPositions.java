package org.streamcourse.request.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.streamcourse.version.image.TermPosition;

/**
 * Places at which the primary's log stood, each with the time at which it was asked for.
 *
 * <p>Invariant: every commit acknowledged before a sample was asked for is at or before its place,
 * or was dropped by a later change of primary. So a member whose log has the place of a sample
 * asked for less than a limit ago shows everything acknowledged longer ago than that limit. The
 * clock is this node's own monotonic one; nothing is compared between machines.
 */
public final class PrimaryPositions {
  private static final long KEPT_MILLIS = 10_000;

  /** Samples closer together than this are not worth keeping apart. */
  private static final long STEP_MILLIS = 20;

  private record Sample(long askedMillis, TermPosition position) {}

  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Adds a sample; only of an answer that shows that the member was primary when it answered.
   *
   * @param askedMillis time at which the statement was sent
   * @param position place told with the answer
   */
  public void add(long askedMillis, TermPosition position) {
    Sample last = samples.peekLast();
    if (last != null && askedMillis - last.askedMillis() < STEP_MILLIS) {
      return;
    }
    samples.addLast(new Sample(askedMillis, position));
    while (askedMillis - samples.peekFirst().askedMillis() > KEPT_MILLIS) {
      samples.pollFirst();
    }
  }

  /**
   * Finds the least place that shows everything acknowledged longer ago than an age.
   *
   * @param now present time
   * @param ageMillis the age
   * @return place, or null when no sample is young enough
   */
  public TermPosition floor(long now, long ageMillis) {
    for (Sample sample : samples) {
      if (now - sample.askedMillis() <= ageMillis) {
        return sample.position();
      }
    }
    return null;
  }

  /**
   * Finds how long the primary's log is known to have a place.
   *
   * @param position the place
   * @param now present time
   * @return milliseconds since the first sample at or after it was asked for; 0 without one
   */
  public long knownForMillis(TermPosition position, long now) {
    for (Sample sample : samples) {
      if (sample.position().reaches(position)) {
        return now - sample.askedMillis();
      }
    }
    return 0;
  }

  /**
   * Returns the newest place.
   *
   * @return place, or {@link TermPosition#ZERO} before the first sample
   */
  public TermPosition newest() {
    return samples.isEmpty() ? TermPosition.ZERO : samples.peekLast().position();
  }
}
