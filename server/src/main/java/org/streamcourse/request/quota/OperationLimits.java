package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/** Decides whether operations may run within the limits of their tenants. */
public interface OperationLimits {
  /**
   * Asks for an operation.
   *
   * @param rule rule of its tenant
   * @param request hears the outcome, at once or later
   * @return takes the request back while it waits
   */
  Disposable admit(TenantRule rule, QuotaRequest request);

  /**
   * Returns what was decided so far.
   *
   * @return counters
   */
  QuotaCounts counts();
}
