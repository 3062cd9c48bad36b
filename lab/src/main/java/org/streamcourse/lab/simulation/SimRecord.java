package org.streamcourse.lab.simulation;

import java.util.List;
import org.streamcourse.version.image.TermPosition;

/** One committed transaction in a simulated group's log. */
record SimRecord(long term, long position, List<Booking> bookings) {
  /** Slot under which claimed request keys are stored. */
  static final String REQUEST_KEYS = "request names";

  /** One booking, under the id that its caller chose. */
  record Booking(String slot, String id) {}

  TermPosition logPosition() {
    return new TermPosition(term, position);
  }
}
