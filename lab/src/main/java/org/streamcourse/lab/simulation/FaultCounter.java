package org.streamcourse.lab.simulation;

import java.util.Map;
import java.util.TreeMap;

/** Counts injected faults or performed checks by kind. */
public final class FaultCounter {
  private final Map<String, Long> counts = new TreeMap<>();

  /**
   * Adds one to the count of a kind.
   *
   * @param kind kind of fault or check
   */
  public void count(String kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  /**
   * Adds all counts of another counter.
   *
   * @param other counter whose counts are added
   */
  public void addAll(FaultCounter other) {
    other.counts.forEach((kind, count) -> counts.merge(kind, count, Long::sum));
  }

  /**
   * Returns the counts.
   *
   * @return count by kind
   */
  public Map<String, Long> counts() {
    return counts;
  }
}
