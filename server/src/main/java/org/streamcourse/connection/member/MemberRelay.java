package org.streamcourse.connection.member;

import java.util.List;
import java.util.function.LongConsumer;
import org.streamcourse.version.image.MemberId;

/** Reaches members through holders, the nodes that hold connections to them. */
public interface MemberRelay {
  /** Relays nothing; for fleets in which every node holds connections of its own. */
  MemberRelay NONE = (target, request, listener, backOff) -> null;

  /**
   * A member and its holders.
   *
   * @param service service of the member
   * @param member the member
   * @param holders names of the holders in order of preference
   * @param fallbackHolders names of the fallback holders, used while no holder is available; the
   *     nearest comes first
   * @param owned whether the first holder is the owner: it is preferred for all tenants, and when
   *     it refuses as busy, the other holders have no capacity either
   */
  record Target(
      String service,
      MemberId member,
      List<String> holders,
      List<String> fallbackHolders,
      boolean owned) {}

  /** Is notified of observations that holders send without a request. */
  interface ObservationListener {
    /**
     * Called when a holder has sent an observation of a member.
     *
     * @param service service of the member
     * @param member the member
     * @param observation state of the member as the holder observes it
     */
    void onObservation(String service, MemberId member, MemberObservation observation);
  }

  /**
   * Sets the listener for observations that holders send without a request.
   *
   * @param listener runs on the proxy's worker
   */
  default void setObservationListener(ObservationListener listener) {}

  /**
   * Opens a channel to a member for one statement or transaction. Commands that are sent on the
   * channel wait for a connection at the holder.
   *
   * @param target the member and its holders
   * @param request carries priority and longest wait, and is notified when no holder grants a
   *     connection
   * @param listener is notified of the answers
   * @param backOff receives the time in milliseconds for which no work for the member is to be
   *     relayed, after no holder could run the work
   * @return channel to the member, or null when no holder is available
   */
  MemberChannel open(
      Target target, LinkRequest request, MemberChannel.Listener listener, LongConsumer backOff);
}
