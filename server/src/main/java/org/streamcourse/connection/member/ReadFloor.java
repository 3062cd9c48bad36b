package org.streamcourse.connection.member;

import org.streamcourse.version.image.TermPosition;

/**
 * The lowest log position that a read must observe, and how long the read may wait for it.
 *
 * @param position position that the member's log must have reached
 * @param ageMillis time since the primary's log is known to have reached the position
 * @param maxWaitMillis how long the read may wait for the member to reach the position; a longer
 *     wait is worse than a read at another member
 */
public record ReadFloor(TermPosition position, long ageMillis, long maxWaitMillis) {
  /**
   * Returns this floor as of a later time.
   *
   * @param millis time that has passed
   * @return floor with a higher age and less time to wait
   */
  public ReadFloor after(long millis) {
    return new ReadFloor(position, ageMillis + millis, maxWaitMillis - millis);
  }
}
