package org.streamcourse.lab.simulation;

import java.util.List;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/** Resets of links between processes that live on, so often that some meet links just opened. */
final class LinkResets {
  private static final double SHARE = 0.08;
  private static final long RESETS_MILLIS = 8_000;
  private static final long EVERY_MILLIS = 35;

  private LinkResets() {}

  /** Resets links among some processes for a while. */
  static void start(
      BiConsumer<Long, Runnable> after,
      SimNetwork network,
      UniformRandomProvider random,
      List<String> processes) {
    for (long at = 0; at < RESETS_MILLIS; at += EVERY_MILLIS) {
      after.accept(at, () -> resetSome(network, random, processes));
    }
  }

  private static void resetSome(
      SimNetwork network, UniformRandomProvider random, List<String> processes) {
    for (String from : processes) {
      for (String to : processes) {
        if (!from.equals(to) && random.nextDouble() < SHARE) {
          network.resetLink(from, to);
        }
      }
    }
  }
}
