package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/** Decides whether operations may run within the limits of their tenants. */
public interface OperationLimits {
  /**
   * Requests that an operation may run.
   *
   * @param rule rule of the operation's tenant
   * @param request receives the decision, at once or later
   * @return cancels the request while it waits
   */
  Disposable admit(TenantRule rule, QuotaRequest request);

  /**
   * Returns the counters of decisions.
   *
   * @return counters
   */
  QuotaCounts counts();
}
