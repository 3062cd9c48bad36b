package org.streamcourse.lab.soak;

import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The clock of a run, and lines about it on the terminal. */
final class Progress {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final PrintStream out;
  private long startedNanos = System.nanoTime();

  Progress(PrintStream out) {
    this.out = out;
  }

  /** Lets the run begin now. */
  synchronized void begin() {
    startedNanos = System.nanoTime();
  }

  synchronized long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }

  void tell(String what) {
    out.println(String.format(Locale.ROOT, "%8.2f s  %s", nowMillis() / MILLIS_PER_SECOND, what));
  }
}
