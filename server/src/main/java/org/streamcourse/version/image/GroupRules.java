package org.streamcourse.version.image;

/**
 * Consistency rules for the sessions of one group.
 *
 * @param maxStalenessMillis maximum staleness of a read's result, unless its session requires less
 * @param catchUpWaitMillis maximum time that a read waits for a replica to reach its floor
 * @param readOnPrimary whether a read may run on the primary when no replica can serve it
 */
public record GroupRules(long maxStalenessMillis, long catchUpWaitMillis, boolean readOnPrimary) {
  /** Rules of a new group. */
  public static final GroupRules DEFAULT = new GroupRules(2_000, 30, true);
}
