package org.streamcourse.request.quota;

import org.streamcourse.version.image.TenantId;

/**
 * Why an operation may not run now.
 *
 * @param tenant whose limit it is
 * @param reason kind of refusal
 * @param node node that counts
 * @param used operations in the window there
 * @param share operations that the node may run in a window
 * @param retryAfterMillis when there may be room
 */
public record QuotaRefusal(
    TenantId tenant, Reason reason, String node, int used, int share, long retryAfterMillis) {
  /** Kinds of refusals. */
  public enum Reason {
    /** The limit is used up over all nodes. */
    NO_MORE("no more to be had"),
    /** The node has no room, and the controllers gave it no more in time. */
    NO_ANSWER("more was asked for"),
    /** The controllers have not confirmed the node for too long, so its share does not count. */
    NOT_CONFIRMED("not confirmed by the controllers"),
    /** None of the nodes that count for the tenant answered in time. */
    SILENT("no node that counts for the tenant answered");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  /**
   * Tells whether another node that counts for the tenant may have room.
   *
   * @return false when the limit is used up everywhere
   */
  public boolean mayRunElsewhere() {
    return reason != Reason.NO_MORE;
  }

  /**
   * Changes the time to come back.
   *
   * @param millis when there may be room
   * @return changed refusal
   */
  public QuotaRefusal withRetryAfter(long millis) {
    return new QuotaRefusal(tenant, reason, node, used, share, millis);
  }

  /**
   * Describes it for callers and logs.
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
