package org.streamcourse.process;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Where a start of a process begins to number its requests. Replies may arrive after a restart, and
 * must not match a request of another start.
 */
final class FirstNumber {
  /** High bits cleared in the random number, so that counting up never overflows. */
  private static final int OVERFLOW_BITS = 8;

  private FirstNumber() {}

  /** Returns a random number, far from those of other starts. */
  static long random() {
    return ThreadLocalRandom.current().nextLong() >>> OVERFLOW_BITS;
  }
}
