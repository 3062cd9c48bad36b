package org.streamcourse.connection.relay;

import org.streamcourse.connection.member.MemberState;
import org.streamcourse.connection.member.ReadFloor;

/**
 * How long a relayed read waits at the holder for the member to have its floor. The holder is
 * nearest to the member and knows most of it: a read that is sent there too early is answered
 * BEHIND, and takes a way and a place in the member's queue.
 *
 * <p>All methods run on the proxy's worker.
 */
final class RelayedFloor {
  /** Times that the member is asked; a second BEHIND shows that its lag is not known well. */
  private static final int MOST_ASKED = 2;

  private final ReadFloor floor;
  private final MemberState state;
  private final long arrivedMillis;
  private int asked;

  /**
   * Creates the wait of one stream.
   *
   * @param floor what the read needs, or null for work that needs nothing
   * @param state what is known of the member
   * @param now present time
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

  /** Expected time until the member can serve the read, in milliseconds. */
  long untilServed(long now) {
    return floor == null ? 0 : state.estimatedCatchUpMillis(asOf(now));
  }

  /** Whether the caller is served sooner elsewhere than after a wait. */
  boolean isTooLate(long waitMillis, long now) {
    return waitMillis > 0 && waitMillis > asOf(now).maxWaitMillis();
  }

  /** The member lacked the floor; tells whether the read may ask it again after a pause. */
  boolean mayAskAgain(long now) {
    if (floor == null) {
      return false;
    }
    ReadFloor present = asOf(now);
    state.onBehind(present);
    asked++;
    return asked < MOST_ASKED && !isTooLate(untilServed(now), now);
  }
}
