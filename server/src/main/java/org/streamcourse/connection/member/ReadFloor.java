package org.streamcourse.connection.member;

import org.streamcourse.version.image.TermPosition;

/**
 * The place that a read needs, and how long it may wait for it.
 *
 * @param position place that the member's log must have
 * @param ageMillis time since the primary's log is known to have it
 * @param maxWaitMillis how long the read may wait for the member to have it; after that another
 *     member serves it sooner
 */
public record ReadFloor(TermPosition position, long ageMillis, long maxWaitMillis) {
  /**
   * The same need some time later.
   *
   * @param millis time that has passed
   * @return older floor with less time to wait
   */
  public ReadFloor after(long millis) {
    return new ReadFloor(position, ageMillis + millis, maxWaitMillis - millis);
  }
}
