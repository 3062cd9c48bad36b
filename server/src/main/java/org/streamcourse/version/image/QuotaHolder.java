package org.streamcourse.version.image;

import java.util.Comparator;

/**
 * An incarnation of a node to which quota is granted. Quota granted to a former incarnation counts
 * as used for a while after that has ended, since it is not known how much of it was used.
 *
 * @param node node's name
 * @param run number of the incarnation
 */
public record QuotaHolder(String node, long run) implements Comparable<QuotaHolder> {
  private static final Comparator<QuotaHolder> ORDER =
      Comparator.comparing(QuotaHolder::node).thenComparingLong(QuotaHolder::run);

  @Override
  public int compareTo(QuotaHolder other) {
    return ORDER.compare(this, other);
  }
}
