package org.streamcourse.request.quota;

/** Permission to run one operation, which counts against its tenant's limit. */
@FunctionalInterface
public interface QuotaPermit {
  /** Permit for tenants without a limit. */
  QuotaPermit UNCOUNTED = () -> {};

  /** Removes the operation from the count, because it has certainly not run. */
  void giveBack();
}
