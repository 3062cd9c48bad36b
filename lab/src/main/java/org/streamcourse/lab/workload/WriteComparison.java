package org.streamcourse.lab.workload;

import java.util.List;
import java.util.Map;

/**
 * Bookings at which what callers were told differs from what the databases hold.
 *
 * @param lost acknowledged bookings that are missing
 * @param duplicates bookings that are there more than once
 * @param falseNotRun bookings that are there although their callers were told that they did not run
 */
public record WriteComparison(
    List<String> lost, List<String> duplicates, List<String> falseNotRun) {

  /**
   * Compares.
   *
   * @param writes what callers were told, by id
   * @param found how often each booking is there, by id
   * @return differences
   */
  public static WriteComparison of(Map<String, WriteOutcome> writes, Map<String, Integer> found) {
    List<String> lost =
        withOutcome(writes, WriteOutcome.ACKNOWLEDGED).stream()
            .filter(id -> !found.containsKey(id))
            .toList();
    List<String> falseNotRun =
        withOutcome(writes, WriteOutcome.NOT_RUN).stream().filter(found::containsKey).toList();
    List<String> duplicates =
        found.entrySet().stream()
            .filter(each -> each.getValue() > 1)
            .map(Map.Entry::getKey)
            .toList();
    return new WriteComparison(lost, duplicates, falseNotRun);
  }

  private static List<String> withOutcome(Map<String, WriteOutcome> writes, WriteOutcome wanted) {
    return writes.entrySet().stream()
        .filter(each -> each.getValue() == wanted)
        .map(Map.Entry::getKey)
        .toList();
  }
}
