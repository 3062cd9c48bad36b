package org.streamcourse.process.logging;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * Closes the log when the process exits, after its planned stop has finished: decisions during a
 * stop, which may take tens of seconds, must be logged too. The runtime runs shutdown hooks
 * concurrently, so this class orders the hook that closes the log after the stop.
 */
public final class LogFlush {
  private static final Set<CountDownLatch> STOPS = ConcurrentHashMap.newKeySet();

  private LogFlush() {}

  /**
   * Keeps the log open until a planned stop has finished.
   *
   * @param stopped counted down when the stop has finished
   */
  public static void waitFor(CountDownLatch stopped) {
    STOPS.add(stopped);
  }

  /** Waits until all stops have finished, then closes the log, which writes the queued lines. */
  static void closeAfterStops(Runnable close) {
    try {
      for (CountDownLatch stopped : STOPS) {
        stopped.await();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close.run();
    }
  }
}
