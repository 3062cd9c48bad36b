package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantRule;

/**
 * Settings for the limits of tenants.
 *
 * @param windowMillis length of the window; a limit holds in each span of this length
 * @param slackShare part of a limit by which it may be exceeded
 * @param slackOperations number of operations by which a limit may be exceeded in addition
 */
public record QuotaSettings(long windowMillis, double slackShare, double slackOperations) {
  /** Limits that may not be exceeded. */
  public static final QuotaSettings DEFAULT = new QuotaSettings(5_000, 0, 0);

  /**
   * Part of the slack that is assigned to nodes. The rest covers the delay between the count of an
   * operation and its arrival at a member: with waits of up to 0.5 s, a window of 5 s at the member
   * may hold operations that were counted during 5.5 s.
   */
  private static final double ASSIGNED_SLACK_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the number of operations that all nodes together may run.
   *
   * @param rule a tenant's rule
   * @return operations in a window
   */
  public int budget(TenantRule rule) {
    double limit = rule.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + rule.burst();
    double slack = limit * slackShare + slackOperations;
    return (int) Math.min(Integer.MAX_VALUE, Math.floor(limit + ASSIGNED_SLACK_SHARE * slack));
  }
}
