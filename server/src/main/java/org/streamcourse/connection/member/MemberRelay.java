package org.streamcourse.connection.member;

import java.util.List;
import java.util.function.LongConsumer;
import org.streamcourse.version.image.MemberId;

/** Reaches members through nodes that hold connections to them. */
public interface MemberRelay {
  /** For fleets in which every node holds connections of its own. */
  MemberRelay NONE = (target, request, listener, memberRests) -> null;

  /**
   * A member and the nodes that hold connections to it.
   *
   * @param service service of the member
   * @param member the member
   * @param holders names of the nodes, the one to ask first in front
   * @param standIns nodes to ask while none of the holders can be asked, the nearest in front
   * @param owned whether the first holder owns all: it is asked first for all tenants, and when it
   *     has no room, the others have none either
   */
  record Target(
      String service,
      MemberId member,
      List<String> holders,
      List<String> standIns,
      boolean owned) {}

  /** Hears what holders of connections tell of members by themselves. */
  interface ObservationListener {
    /**
     * A holder told what it knows.
     *
     * @param service service of the member
     * @param member the member
     * @param observation what was told
     */
    void onObservation(String service, MemberId member, MemberObservation observation);
  }

  /**
   * Sets who hears what holders tell by themselves.
   *
   * @param listener runs on the proxy's worker
   */
  default void setObservationListener(ObservationListener listener) {}

  /**
   * Opens a way to a member for one statement or transaction. What is sent on it waits for a
   * connection at the holder.
   *
   * @param target the member and its holders
   * @param request tells rank and longest wait, and hears when no holder gives a connection
   * @param listener hears the answers
   * @param memberRests hears for how many milliseconds the member need not be asked for, when no
   *     holder could bring the work to it
   * @return way to the member, or null when no holder can be asked
   */
  MemberChannel open(
      Target target,
      LinkRequest request,
      MemberChannel.Listener listener,
      LongConsumer memberRests);
}
