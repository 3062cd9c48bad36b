package org.streamcourse.connection.member;

import java.util.Map;
import org.streamcourse.version.image.TenantId;

/** A request for a link to a member. */
public interface LinkRequest {
  /**
   * Returns the priority.
   *
   * @return priority, lower values are served first, from 0
   */
  int priority();

  /**
   * Returns whether only the primary can do the work. A draining primary still gets such work for
   * some time.
   *
   * @return true for the primary's work
   */
  boolean needsPrimary();

  /**
   * Returns whether the work may be relayed through another node when this node has no link.
   *
   * @return false for work that was relayed to this node
   */
  default boolean mayBeRelayed() {
    return true;
  }

  /**
   * Returns the tenant of the work. A link serves one tenant only.
   *
   * @return the tenant
   */
  TenantId tenant();

  /**
   * Returns whether a link of any tenant can be used, as for a probe that carries no caller's
   * statement.
   *
   * @return false for callers' work
   */
  default boolean takesAnyTenant() {
    return false;
  }

  /**
   * Returns whether a link may serve the request.
   *
   * @param owner tenant of the link
   * @return false for another tenant's link
   */
  default boolean isServedBy(TenantId owner) {
    return takesAnyTenant() || owner.equals(tenant());
  }

  /**
   * Returns the longest time for which the request may wait for a link.
   *
   * @return milliseconds
   */
  long maxWaitMillis();

  /**
   * Returns the values of the session that will use the link.
   *
   * @return values by name
   */
  Map<String, String> sessionValues();

  /**
   * Returns the floor of a read, so that it isn't sent to a member that is behind it.
   *
   * @return the floor as of now, or null when the read has none
   */
  default ReadFloor floor() {
    return null;
  }

  /**
   * Called when a holder has sent its observation of the member, before the answer that it came
   * with is delivered.
   *
   * @param observation the holder's observation
   */
  default void onObservation(MemberObservation observation) {}

  /**
   * Called when the member is expected to stay behind the floor for longer than the request may
   * wait. The member has run nothing.
   *
   * @param cause text for a person
   * @param retryAfterMillis time until the member is expected to reach the floor
   */
  default void behind(String cause, long retryAfterMillis) {
    refused(cause, retryAfterMillis);
  }

  /**
   * Returns the listener for failures at holders.
   *
   * @return listener for this request
   */
  default HolderListener holderListener() {
    return HolderListener.NONE;
  }

  /**
   * Called when a link is granted. The link must be returned with {@link MemberLinks#release}, even
   * if it has ended.
   *
   * @param link open link
   */
  void granted(MemberLink link);

  /**
   * Called when no link is granted; the member has run nothing. A relayed link is granted at once
   * and may still be refused until its first answer has arrived; it must be returned then.
   *
   * @param cause text for a person
   * @param retryAfterMillis time after which a link may be available
   */
  void refused(String cause, long retryAfterMillis);
}
