package org.streamcourse.lab.workload;

import java.util.List;
import org.streamcourse.lab.workload.Journal.Acknowledged;

/**
 * Measures the failover gap: the time from the loss of a primary until a write that was sent after
 * the loss is acknowledged. Writes that were outstanding when the primary was lost do not count.
 */
public final class FailoverGap {
  private FailoverGap() {}

  /**
   * Computes the gap.
   *
   * @param acknowledged acknowledged writes of all databases
   * @param database database whose primary was lost
   * @param lostAtNanos time at which the primary was lost
   * @return seconds; infinite when no write was acknowledged afterwards
   */
  public static double seconds(List<Acknowledged> acknowledged, String database, long lostAtNanos) {
    return acknowledged.stream()
        .filter(each -> each.database().equals(database) && each.sentAtNanos() > lostAtNanos)
        .mapToLong(each -> each.atNanos() - lostAtNanos)
        .min()
        .stream()
        .mapToDouble(nanos -> nanos / 1e9)
        .findFirst()
        .orElse(Double.POSITIVE_INFINITY);
  }
}
