package org.streamcourse.lab.workload;

import java.util.ArrayList;
import java.util.List;

/**
 * Records when each number of a counter in a database was acknowledged. A read that returned a
 * number is stale if the next number was acknowledged longer before the read than the staleness
 * limit.
 */
final class Ticker {
  private final List<Long> acknowledgedAtNanos = new ArrayList<>();

  /** Returns the number to write next; numbers start at 1. */
  synchronized int next() {
    return acknowledgedAtNanos.size() + 1;
  }

  synchronized void acknowledged(long atNanos) {
    acknowledgedAtNanos.add(atNanos);
  }

  /** Returns the time since the acknowledgment of the first number that a read missed, else 0. */
  synchronized long stalenessNanos(int seen, long readStartNanos) {
    if (seen >= acknowledgedAtNanos.size()) {
      return 0;
    }
    return Math.max(0, readStartNanos - acknowledgedAtNanos.get(seen));
  }
}
