package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantId;

/** An operation that wants to run within its tenant's limit. */
public interface QuotaRequest {
  /**
   * Returns whose operation it is.
   *
   * @return the tenant
   */
  TenantId tenant();

  /**
   * Returns how long it may wait.
   *
   * @return milliseconds
   */
  long maxWaitMillis();

  /**
   * It may run.
   *
   * @param permit uncounts it, if it turns out not to run
   */
  void admitted(QuotaPermit permit);

  /**
   * It may not run now.
   *
   * @param refusal why, and when to come back
   */
  void refused(QuotaRefusal refusal);
}
