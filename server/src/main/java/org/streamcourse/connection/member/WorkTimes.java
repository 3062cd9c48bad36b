package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.Map;

/**
 * How long a member's slots are taken by each kind of work, as moving averages. Kinds are told
 * apart by their priority: requests of one route have the same and cause similar work.
 */
final class WorkTimes {
  /** Kind under which all commands are counted together. */
  static final int ANY_KIND = -1;

  /** Weight of the newest value. */
  private static final double NEWEST = 0.1;

  /** Average of a kind of which nothing was observed yet. */
  private static final double FIRST_MILLIS = 10;

  private final Map<Integer, Double> averages = new HashMap<>();

  void add(int kind, long tookMillis) {
    double before = averages.getOrDefault(kind, FIRST_MILLIS);
    averages.put(kind, before + NEWEST * (tookMillis - before));
  }

  /** Average of a kind in milliseconds, at least 1. */
  long averageMillis(int kind) {
    return Math.max(1, Math.round(averages.getOrDefault(kind, FIRST_MILLIS)));
  }
}
