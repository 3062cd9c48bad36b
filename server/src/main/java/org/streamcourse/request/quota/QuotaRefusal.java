package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantId;

/**
 * The refusal of an operation.
 *
 * @param tenant tenant of the limit
 * @param reason reason of the refusal
 * @param node node that counts the tenant's operations
 * @param used operations in the window at this node
 * @param share operations that the node may run in a window
 * @param retryAfterMillis time until there may be capacity
 */
public record QuotaRefusal(
    TenantId tenant, Reason reason, String node, int used, int share, long retryAfterMillis) {
  /** Reason of a refusal. */
  public enum Reason {
    /** The limit is used up at all nodes together. */
    NO_MORE("the limit is used up at all nodes"),
    /**
     * The node's share allows no more operations, and the node requested a larger one. None was
     * granted in time, or the node's waiting operations are at their limit.
     */
    NO_ANSWER("the share is used up and a larger one was requested"),
    /** The controllers have not confirmed the node for too long, so it may not use its share. */
    NOT_CONFIRMED("not confirmed by the controllers"),
    /** No quota server of the tenant responded in time. */
    SILENT("no quota server of the tenant responded");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  /**
   * Returns whether another quota server of the tenant may have capacity.
   *
   * @return false when the limit is used up at all nodes
   */
  public boolean mayRetryElsewhere() {
    return reason != Reason.NO_MORE;
  }

  /**
   * Returns a copy with another retry time.
   *
   * @param millis time until there may be capacity
   * @return the copy
   */
  public QuotaRefusal withRetryAfter(long millis) {
    return new QuotaRefusal(tenant, reason, node, used, share, millis);
  }

  /**
   * Describes the refusal for callers and logs.
   *
   * @return one line
   */
  public String cause() {
    return "the limit of tenant "
        + tenant
        + ": "
        + used
        + " of "
        + share
        + " operations in the window at "
        + node
        + ", "
        + reason.text;
  }
}
