package org.streamcourse.request.edge;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the share of retries among an edge's attempts, so that retries do not multiply the load on
 * failing or overloaded members. Each request earns a credit, and each retry costs several; a
 * reserve covers a short burst, such as the failure of a gateway. Thread-safe.
 */
public final class RetryBudget {
  /** Credits that one retry costs: ten requests earn one retry. */
  private static final long CREDITS_PER_RETRY = 10;

  private static final long RESERVED_RETRIES = 100;
  private static final long MAX_CREDITS = RESERVED_RETRIES * CREDITS_PER_RETRY;

  private final AtomicLong credits = new AtomicLong(MAX_CREDITS);
  private final AtomicLong denied = new AtomicLong();

  /** Adds the credit that a request earns. */
  void requestStarted() {
    credits.updateAndGet(balance -> Math.min(MAX_CREDITS, balance + 1));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false when the budget is spent; the request then ends with the outcome of its last
   *     attempt
   */
  boolean tryRetry() {
    long before =
        credits.getAndUpdate(
            balance -> balance >= CREDITS_PER_RETRY ? balance - CREDITS_PER_RETRY : balance);
    if (before < CREDITS_PER_RETRY) {
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
