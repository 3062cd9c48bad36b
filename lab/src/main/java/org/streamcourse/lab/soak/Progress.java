package org.streamcourse.lab.soak;

import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The clock of a run; prints progress lines with the time since the run's start. */
final class Progress {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final PrintStream out;
  private long startedNanos = System.nanoTime();

  Progress(PrintStream out) {
    this.out = out;
  }

  /** Resets the clock: the run starts now. */
  synchronized void begin() {
    startedNanos = System.nanoTime();
  }

  synchronized long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }

  void print(String event) {
    out.println(String.format(Locale.ROOT, "%8.2f s  %s", nowMillis() / MILLIS_PER_SECOND, event));
  }
}
