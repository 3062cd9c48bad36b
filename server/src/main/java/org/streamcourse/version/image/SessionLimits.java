package org.streamcourse.version.image;

/**
 * Limits of callers' sessions.
 *
 * @param transactionIdleMillis time for which a transaction may be idle before it is aborted
 */
public record SessionLimits(long transactionIdleMillis) {
  /** Limits that apply while operators have set none. */
  public static final SessionLimits DEFAULT = new SessionLimits(3_000);
}
