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
    /** The node has used up its share, and the controllers did not grant more in time. */
    NO_ANSWER("no larger share was granted in time"),
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
