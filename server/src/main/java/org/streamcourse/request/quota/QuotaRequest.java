package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantId;

/** A request to run an operation within its tenant's limit. */
public interface QuotaRequest {
  /**
   * Returns the tenant of the operation.
   *
   * @return the tenant
   */
  TenantId tenant();

  /**
   * Returns how long the operation may wait.
   *
   * @return milliseconds
   */
  long maxWaitMillis();

  /**
   * Called when the operation may run.
   *
   * @param permit removes the operation from the count if it does not run
   */
  void admitted(QuotaPermit permit);

  /**
   * Called when the operation is refused.
   *
   * @param refusal reason and retry time
   */
  void refused(QuotaRefusal refusal);
}
