package org.streamcourse.lab.simulation;

import java.util.List;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Resets links between running processes, often enough that some links are reset right after they
 * were opened.
 */
final class LinkResets {
  private static final double RESET_SHARE = 0.08;
  private static final long DURATION_MILLIS = 8_000;
  private static final long INTERVAL_MILLIS = 35;

  private LinkResets() {}

  /** Schedules resets of random links between the processes. */
  static void start(
      BiConsumer<Long, Runnable> after,
      SimNetwork network,
      UniformRandomProvider random,
      List<String> processes) {
    for (long at = 0; at < DURATION_MILLIS; at += INTERVAL_MILLIS) {
      after.accept(at, () -> resetSome(network, random, processes));
    }
  }

  private static void resetSome(
      SimNetwork network, UniformRandomProvider random, List<String> processes) {
    for (String from : processes) {
      for (String to : processes) {
        if (!from.equals(to) && random.nextDouble() < RESET_SHARE) {
          network.resetLink(from, to);
        }
      }
    }
  }
}
