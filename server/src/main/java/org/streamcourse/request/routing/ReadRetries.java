package org.streamcourse.request.routing;

/**
 * Bounds the reads of one service that this node asks of a second member while the first owes the
 * answer. Each read earns a part of one, so that repeats add at most a tenth to the members' load,
 * whatever makes answers late; a member that is run at nine tenths of its room still has that. The
 * reserve covers the first reads that meet a member which has just hung.
 *
 * <p>All methods run on the proxy's worker.
 */
final class ReadRetries {
  /** Reads that earn one repeat. */
  private static final int READS_A_REPEAT = 10;

  /** Repeats that can be saved up; a node has about as many reads under way at one member. */
  private static final int MOST_SAVED = 4;

  private int parts = MOST_SAVED * READS_A_REPEAT;

  void readStarted() {
    parts = Math.min(MOST_SAVED * READS_A_REPEAT, parts + 1);
  }

  /** Takes a repeat; false when the budget is spent. */
  boolean take() {
    if (parts < READS_A_REPEAT) {
      return false;
    }
    parts -= READS_A_REPEAT;
    return true;
  }
}
