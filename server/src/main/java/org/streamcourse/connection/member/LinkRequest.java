package org.streamcourse.connection.member;

import java.util.Map;
import org.streamcourse.version.image.TenantId;

/** A wish for a link to a member. */
public interface LinkRequest {
  /**
   * Returns the rank.
   *
   * @return 0 is served first
   */
  int priority();

  /**
   * Tells whether only the primary can do the work; a primary that leaves still gets it for a
   * while.
   *
   * @return true for the primary's work
   */
  boolean needsPrimary();

  /**
   * Tells whether another node may be asked when this one gets no link.
   *
   * @return false for what another node has asked of this one
   */
  default boolean mayGoThroughOthers() {
    return true;
  }

  /**
   * Returns whose work it is; a link serves one tenant only.
   *
   * @return the tenant
   */
  TenantId tenant();

  /**
   * Tells whether any tenant's link will do, for a question that carries no statement of a caller.
   *
   * @return false for callers' work
   */
  default boolean takesAnyTenant() {
    return false;
  }

  /**
   * Tells whether a link may serve the request.
   *
   * @param owner tenant of the link
   * @return false for another tenant's link
   */
  default boolean isServedBy(TenantId owner) {
    return takesAnyTenant() || owner.equals(tenant());
  }

  /**
   * Returns how long the request may wait.
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
   * Returns what the member's log must have, to keep the request from a member that lacks it.
   *
   * @return the floor as of now, or null where any member's log will do
   */
  default ReadFloor floor() {
    return null;
  }

  /**
   * A holder of connections told what it knows of the member; called before its answer is.
   *
   * @param observation what it told
   */
  default void learned(MemberObservation observation) {}

  /**
   * The member is known to lack the floor for longer than the request may wait; it was asked
   * nothing.
   *
   * @param cause why
   * @param retryAfterMillis when it is expected to have it
   */
  default void behind(String cause, long retryAfterMillis) {
    refused(cause, retryAfterMillis);
  }

  /**
   * Returns who hears how nodes fail that hold connections.
   *
   * @return listener of this request
   */
  default HolderListener holderListener() {
    return HolderListener.NONE;
  }

  /**
   * Hands a link out; it must be given back with {@link MemberLinks#release}, also when it ended.
   *
   * @param link open link
   */
  void granted(MemberLink link);

  /**
   * No link is given; the member was asked nothing. A link that leads through another node is
   * granted at once, and may be refused until the first answer has come over it; it must be given
   * back then.
   *
   * @param cause why
   * @param retryAfterMillis when there may be one
   */
  void refused(String cause, long retryAfterMillis);
}
