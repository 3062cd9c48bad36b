package org.streamcourse.connection.member;

/** Measures how long a member has been draining. */
final class DrainTimer {
  /**
   * Time after the start of draining for which a primary still gets work while another member takes
   * over. It ends before the time after which a draining member must not get any work.
   */
  static final long PRIMARY_MILLIS = 3_000;

  private static final long NOT_DRAINING = -1;

  private long sinceMillis = NOT_DRAINING;

  /** Starts the timer when the member begins to drain; returns false if it was started before. */
  boolean start(long now) {
    boolean first = sinceMillis == NOT_DRAINING;
    sinceMillis = first ? now : sinceMillis;
    return first;
  }

  /** Returns whether that time is over, so that not even a primary gets work any more. */
  boolean isExpired(long now) {
    return sinceMillis != NOT_DRAINING && now - sinceMillis >= PRIMARY_MILLIS;
  }
}
