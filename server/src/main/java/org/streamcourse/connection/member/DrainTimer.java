package org.streamcourse.connection.member;

/** How long a member has been leaving. */
final class DrainTimer {
  /**
   * Time that a primary which leaves goes on getting work while another takes over; below the time
   * after which a leaving member must get none.
   */
  static final long PRIMARY_MILLIS = 3_000;

  private static final long NOT_LEAVING = -1;

  private long sinceMillis = NOT_LEAVING;

  /** Notes that the member leaves; returns whether that is new. */
  boolean begins(long now) {
    boolean first = sinceMillis == NOT_LEAVING;
    sinceMillis = first ? now : sinceMillis;
    return first;
  }

  /** Whether a primary gets no more work either. */
  boolean isOver(long now) {
    return sinceMillis != NOT_LEAVING && now - sinceMillis >= PRIMARY_MILLIS;
  }
}
