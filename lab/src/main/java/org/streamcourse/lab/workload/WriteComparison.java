package org.streamcourse.lab.workload;

import java.util.List;
import java.util.Map;

/**
 * The bookings for which the outcome reported to callers differs from the databases.
 *
 * @param lost acknowledged bookings that are missing
 * @param duplicates bookings that are stored more than once
 * @param falseNotRun bookings that are stored although they were refused as not run
 */
public record WriteComparison(
    List<String> lost, List<String> duplicates, List<String> falseNotRun) {

  /**
   * Compares the reported outcomes with the stored bookings.
   *
   * @param writes outcome that the caller received, by id
   * @param found number of rows of each booking, by id
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
