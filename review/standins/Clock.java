/** Steady time of a run. */
final class Clock {
  private static final long START = System.nanoTime();

  private Clock() {}

  /** Returns the milliseconds since the start of the run. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
