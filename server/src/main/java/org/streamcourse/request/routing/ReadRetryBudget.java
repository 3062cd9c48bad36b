package org.streamcourse.request.routing;

/**
 * Retry budget of one service: bounds the reads that this node sends to a second member while the
 * answer of the first is outstanding. Each read earns a fraction of a retry, so that retries add at
 * most a tenth to the members' load, whatever delays the answers; a member at nine tenths of its
 * capacity can still serve them. The saved retries cover the first reads sent to a member that has
 * just hung.
 *
 * <p>All methods run on the proxy's worker.
 */
final class ReadRetryBudget {
  /** Number of reads that earn one retry. */
  private static final int READS_PER_RETRY = 10;

  /** Most retries that can be saved; a node has about as many reads in flight at one member. */
  private static final int MAX_SAVED_RETRIES = 4;

  private int credits = MAX_SAVED_RETRIES * READS_PER_RETRY;

  void readStarted() {
    credits = Math.min(MAX_SAVED_RETRIES * READS_PER_RETRY, credits + 1);
  }

  /** Takes one retry from the budget; returns false when the budget is spent. */
  boolean tryTake() {
    if (credits < READS_PER_RETRY) {
      return false;
    }
    credits -= READS_PER_RETRY;
    return true;
  }
}
