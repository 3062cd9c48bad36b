package org.streamcourse.request.edge;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the share of retries among an edge's attempts, so that retries don't multiply the load on
 * failing or overloaded members. Each request earns a fraction of a retry; a reserve covers a short
 * burst, such as the failure of a gateway. Safe from any thread.
 */
public final class RetryBudget {
  /** Fractions that make one retry: ten requests earn one retry. */
  private static final long PARTS_PER_RETRY = 10;

  private static final long RESERVED_RETRIES = 100;
  private static final long MAX_PARTS = RESERVED_RETRIES * PARTS_PER_RETRY;

  private final AtomicLong parts = new AtomicLong(MAX_PARTS);
  private final AtomicLong denied = new AtomicLong();

  /** Adds the fraction of a retry that a request earns. */
  void requestStarted() {
    parts.updateAndGet(balance -> Math.min(MAX_PARTS, balance + 1));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false when the budget is spent; the request then ends with the outcome of its last
   *     attempt
   */
  boolean tryRetry() {
    long before =
        parts.getAndUpdate(
            balance -> balance >= PARTS_PER_RETRY ? balance - PARTS_PER_RETRY : balance);
    if (before < PARTS_PER_RETRY) {
      denied.incrementAndGet();
      return false;
    }
    return true;
  }

  /**
   * Returns the number of retries that the budget denied.
   *
   * @return count since the start
   */
  public long denied() {
    return denied.get();
  }
}
