package org.streamcourse.process.logging;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * Ends the log when the process ends: only once its planned stop is over, since what is decided
 * during a stop, which may take tens of seconds, must be told as well. Hooks of a runtime that ends
 * run side by side, so their order has to be kept here.
 */
public final class LogFlush {
  private static final Set<CountDownLatch> STOPS = ConcurrentHashMap.newKeySet();

  private LogFlush() {}

  /**
   * Keeps the log open until a stop is over.
   *
   * @param stopped counted down when it is
   */
  public static void waitFor(CountDownLatch stopped) {
    STOPS.add(stopped);
  }

  /** Waits until all stops are over, and writes what is left. */
  static void endAfterStops(Runnable end) {
    try {
      for (CountDownLatch stopped : STOPS) {
        stopped.await();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      end.run();
    }
  }
}
