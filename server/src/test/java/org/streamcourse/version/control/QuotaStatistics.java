package org.streamcourse.version.control;

import java.util.Arrays;

/** Statistics of a {@link QuotaWorld}. */
final class QuotaStatistics {
  private static final int MAX_WAIT_MICROS = 600_000;
  private static final int WAIT_STEP_MICROS = 100;

  long offered;

  /** Operations of the greedy tenant as a fraction of its limit; summed over worlds. */
  double greedyUse;

  long refusedBelowLimit;
  long refusedBelowLimitOfGreedy;
  long brokenWindows;
  long messages;
  long bytes;
  long bytesBetweenRegions;
  long logBytes;
  long logRecords;
  long waitedMicros;
  long offeredAfterLoss;
  long admittedAfterLoss;
  double highestUse;
  private final int[] waits = new int[MAX_WAIT_MICROS / WAIT_STEP_MICROS + 1];

  void waited(long micros) {
    waitedMicros += micros;
    waits[(int) Math.min(MAX_WAIT_MICROS, micros) / WAIT_STEP_MICROS]++;
  }

  /** Returns the quantile of the waiting times of admitted operations, in milliseconds. */
  double waitOf(double quantile) {
    long all = Arrays.stream(waits).asLongStream().sum();
    long counted = 0;
    for (int i = 0; i < waits.length; i++) {
      counted += waits[i];
      if (counted >= quantile * all) {
        return i * WAIT_STEP_MICROS / 1_000.0;
      }
    }
    return MAX_WAIT_MICROS / 1_000.0;
  }

  /** Adds the statistics of another world. */
  void add(QuotaStatistics other) {
    offered += other.offered;
    greedyUse += other.greedyUse;
    refusedBelowLimit += other.refusedBelowLimit;
    refusedBelowLimitOfGreedy += other.refusedBelowLimitOfGreedy;
    brokenWindows += other.brokenWindows;
    messages += other.messages;
    bytes += other.bytes;
    bytesBetweenRegions += other.bytesBetweenRegions;
    logBytes += other.logBytes;
    logRecords += other.logRecords;
    waitedMicros += other.waitedMicros;
    offeredAfterLoss += other.offeredAfterLoss;
    admittedAfterLoss += other.admittedAfterLoss;
    highestUse = Math.max(highestUse, other.highestUse);
    for (int i = 0; i < waits.length; i++) {
      waits[i] += other.waits[i];
    }
  }
}
