package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of the time for which each kind of work takes a slot of a member. The kind is the
 * priority of a request: requests of one route have the same priority and cause similar work.
 */
final class WorkTimes {
  /** Kind that combines all commands. */
  static final int ANY_KIND = -1;

  /** Weight of the newest value in a moving average. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Initial average of a kind. */
  private static final double INITIAL_MILLIS = 10;

  private final Map<Integer, Double> averages = new HashMap<>();

  void add(int kind, long tookMillis) {
    double before = averages.getOrDefault(kind, INITIAL_MILLIS);
    averages.put(kind, before + NEWEST_WEIGHT * (tookMillis - before));
  }

  /** Returns the average of a kind in milliseconds, at least 1. */
  long averageMillis(int kind) {
    return Math.max(1, Math.round(averages.getOrDefault(kind, INITIAL_MILLIS)));
  }
}
