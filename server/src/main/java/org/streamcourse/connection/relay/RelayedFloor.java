package org.streamcourse.connection.relay;

import org.streamcourse.connection.member.MemberState;
import org.streamcourse.connection.member.ReadFloor;

/**
 * Time for which a relayed read waits at the holder until the member reaches its floor. The holder
 * waits because it is nearest to the member and has the newest observations: a read that is sent to
 * the member too early is answered BEHIND, and costs a round trip and a place in the member's
 * queue.
 *
 * <p>All methods run on the proxy's worker.
 */
final class RelayedFloor {
  /** Maximum number of attempts; a second BEHIND shows that the lag estimate is wrong. */
  private static final int MAX_ATTEMPTS = 2;

  private final ReadFloor floor;
  private final MemberState state;
  private final long arrivedMillis;
  private int attempts;

  /**
   * Creates the wait of one stream.
   *
   * @param floor floor of the read, or null for work without one
   * @param state state of the member
   * @param now current time
   */
  RelayedFloor(ReadFloor floor, MemberState state, long now) {
    this.floor = floor;
    this.state = state;
    this.arrivedMillis = now;
    if (floor != null) {
      state.onPrimaryPosition(floor.position(), floor.ageMillis());
    }
  }

  private ReadFloor asOf(long now) {
    return floor.after(now - arrivedMillis);
  }

  /** Estimates the time until the member reaches the floor, in milliseconds. */
  long catchUpMillis(long now) {
    return floor == null ? 0 : state.estimatedCatchUpMillis(asOf(now));
  }

  /** Returns whether a wait is longer than the read may wait, so that another member is better. */
  boolean isTooLate(long waitMillis, long now) {
    return waitMillis > 0 && waitMillis > asOf(now).maxWaitMillis();
  }

  /** Records that the member was behind the floor; returns whether to retry after a wait. */
  boolean mayRetry(long now) {
    if (floor == null) {
      return false;
    }
    ReadFloor current = asOf(now);
    state.onBehind(current);
    attempts++;
    return attempts < MAX_ATTEMPTS && !isTooLate(catchUpMillis(now), now);
  }
}
