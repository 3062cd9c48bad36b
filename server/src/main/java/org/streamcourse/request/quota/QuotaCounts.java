package org.streamcourse.request.quota;

import java.util.function.LongConsumer;

/** Counts decisions about operations of tenants with a limit. */
public final class QuotaCounts {
  private LongConsumer waitListener = millis -> {};
  private volatile long admitted;
  private volatile long refused;

  /**
   * Sets the listener for the wait of operations before they are admitted.
   *
   * @param listener receives milliseconds on the proxy's worker
   */
  public void onAdmitted(LongConsumer listener) {
    waitListener = listener;
  }

  void admitted(long waitedMillis) {
    admitted++;
    waitListener.accept(waitedMillis);
  }

  void refused() {
    refused++;
  }

  /**
   * Counts admitted operations.
   *
   * @return count since the start; thread-safe
   */
  public long admitted() {
    return admitted;
  }

  /**
   * Counts refused operations.
   *
   * @return count since the start; thread-safe
   */
  public long refusals() {
    return refused;
  }
}
