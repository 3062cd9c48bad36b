package org.streamcourse.version.control;

import java.util.List;
import org.streamcourse.connection.peer.Envelope;
import org.streamcourse.version.agreement.AgreementMessage;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;

/** Messages between controllers, and between controllers and nodes. */
public sealed interface ControlMessage {
  /**
   * A message of the agreement protocol, addressed to one identity.
   *
   * @param toIdentity identity of the receiver; a controller with another identity drops the
   *     message
   * @param message the message
   */
  record AgreementEnvelope(String toIdentity, AgreementMessage message)
      implements ControlMessage, Envelope {}

  /**
   * A new controller's request to be added to the agreement as a learner, handled by the leader.
   *
   * @param request the request
   */
  record JoinEnvelope(AgreementMessage.JoinRequest request) implements ControlMessage {}

  /**
   * A node's observation of one member.
   *
   * @param group name of the member's group or service
   * @param member member's name
   * @param reachable whether the member responds
   * @param status status that the member reported last
   */
  record MemberReport(String group, String member, boolean reachable, MemberStatus status) {
    /**
     * Compares two reports without their log positions, which advance with each write.
     *
     * @param other report of the same member
     * @return whether reachability, term, role and upstream are the same
     */
    boolean hasSameRole(MemberReport other) {
      return reachable == other.reachable
          && status.term() == other.status.term()
          && status.role() == other.status.role()
          && status.upstream().equals(other.status.upstream());
    }
  }

  /**
   * A node's heartbeat; also its request for admission.
   *
   * @param node the node itself
   * @param sequence number of this heartbeat
   * @param version version of the image that the node has in force
   * @param heldVersion newest version whose allowances the node adheres to, after closing the
   *     connections above them
   * @param leaving true once the node is draining
   * @param sessions number of client sessions
   * @param all whether the reports cover all members observed by the node
   * @param reports reports on members: all of them, or those that changed
   */
  record NodeHeartbeat(
      NodeImage node,
      long sequence,
      long version,
      long heldVersion,
      boolean leaving,
      int sessions,
      boolean all,
      List<MemberReport> reports)
      implements ControlMessage {}

  /**
   * Reply to a heartbeat, sent by a leader whose leadership a majority confirmed after the
   * heartbeat arrived.
   *
   * @param sequence copied from the heartbeat
   * @param delta changes since the node's version, or null
   * @param image whole image when the changes are no longer kept, or null
   * @param reportAll true when the next heartbeat must contain all reports
   * @param controllers names of all present controllers
   */
  record HeartbeatReply(
      long sequence,
      ClusterDelta delta,
      ClusterImage image,
      boolean reportAll,
      List<String> controllers)
      implements ControlMessage {
    /**
     * Returns the version of the leader's image, which a node must have reached to be confirmed.
     *
     * @return image version, 0 if the reply contains none
     */
    public long version() {
      if (image != null) {
        return image.version();
      }
      return delta == null ? 0 : delta.toVersion();
    }

    /**
     * Creates a reply that names no controllers.
     *
     * @param sequence copied from the heartbeat
     * @param delta changes since the node's version, or null
     * @param image whole image when the changes are no longer kept, or null
     * @param reportAll true when the next heartbeat must contain all reports
     */
    public HeartbeatReply(
        long sequence, ClusterDelta delta, ClusterImage image, boolean reportAll) {
      this(sequence, delta, image, reportAll, List.of());
    }
  }

  /**
   * Newly agreed changes, pushed to every node. A node whose version the delta does not start from
   * receives the changes in reply to its next heartbeat.
   *
   * @param delta the changes
   */
  record ImagePush(ClusterDelta delta) implements ControlMessage {}

  /**
   * Reply of a controller that is not the leader.
   *
   * @param leader name of the leader, empty when unknown
   */
  record LeaderHint(String leader) implements ControlMessage {}

  /**
   * The image stored at a controller that has just started, or in force at another node; newer
   * versions may have been agreed.
   *
   * @param image stored image, reduced to what nodes use
   */
  record StoredImage(ClusterImage image) implements ControlMessage {}

  /**
   * A starting node's request for the image of another node from which it has just received a
   * message; answered with {@link StoredImage}.
   */
  record ImageRequest() implements ControlMessage {}

  /**
   * A node's demand for a share of one tenant's limit.
   *
   * @param tenant the tenant
   * @param number number of the newest share that the node has received; 0 for none
   * @param held operations in a window that the node limits itself to from now on
   * @param used operations in the window that ends now, and the headroom for their bursts
   * @param waiting operations that are queued
   * @param admitted operations admitted since the report before
   * @param refused operations refused since the report before
   */
  record QuotaDemand(
      TenantId tenant, long number, int held, int used, int waiting, int admitted, int refused) {
    /** Returns the operations that are queued, and those refused since the report before. */
    int shortBy() {
      return waiting + refused;
    }

    /**
     * Compares the demands of two reports.
     *
     * @param other another report of the same tenant, or null
     * @return whether the leader would decide the same for both
     */
    public boolean needsTheSame(QuotaDemand other) {
      return other != null
          && number == other.number
          && held == other.held
          && used == other.used
          && shortBy() == other.shortBy();
    }
  }

  /**
   * A node's demands for shares of tenants' limits.
   *
   * @param run number of the node's incarnation
   * @param ageMillis time since the incarnation began
   * @param complete whether the node has no demand for tenants that are not listed
   * @param demands changed demands, or all of them if complete
   */
  record QuotaReport(long run, long ageMillis, boolean complete, List<QuotaDemand> demands)
      implements ControlMessage {}

  /**
   * A node's share of one tenant's limit.
   *
   * @param tenant the tenant
   * @param number increases with each change of any share
   * @param operations operations in a window
   * @param inherited part of them that earlier incarnations of the node had, and may have used in
   *     the present window
   * @param ceiling value to which the node lowers the share as soon as its window allows
   * @param exhausted whether the limit has nothing left for this node
   */
  record QuotaShare(
      TenantId tenant,
      long number,
      int operations,
      int inherited,
      int ceiling,
      boolean exhausted) {}

  /**
   * A node's changed shares of tenants' limits, sent by the leader.
   *
   * @param run incarnation of the node that the shares belong to
   * @param shares changed shares
   */
  record QuotaNews(long run, List<QuotaShare> shares) implements ControlMessage {}

  /** Kinds of orders to a gateway about a member. */
  enum OrderKind {
    /** Make the member refuse everything of older terms. */
    FENCE,
    /** Make the member primary of the term. */
    PROMOTE,
    /** Make the member a replica of the term's primary. */
    FOLLOW,
    /** Refuse new writes, let open transactions end, then report. */
    HOLD_WRITES,
    /** Accept writes again. */
    RELEASE_WRITES
  }

  /**
   * A leader's order to a gateway about a member.
   *
   * @param orderId number that the result copies
   * @param group group's name
   * @param member member's name
   * @param kind kind of the order
   * @param term term of the order
   * @param primary name of the term's primary, for {@link OrderKind#FOLLOW}
   * @param awaited log position that the member must have received before the order is carried out
   */
  record MemberOrder(
      long orderId,
      String group,
      String member,
      OrderKind kind,
      long term,
      String primary,
      TermPosition awaited)
      implements ControlMessage {}

  /**
   * Outcome of an order.
   *
   * @param orderId copied from the order
   * @param done whether it was carried out
   * @param status status that the member reported afterwards
   * @param detail error text when the order was not carried out
   */
  record MemberOrderResult(long orderId, boolean done, MemberStatus status, String detail)
      implements ControlMessage {}

  /**
   * An operator's statement that a controller forwards to the leader.
   *
   * @param requestId number that the response copies
   * @param statement text of the statement
   */
  record AdminRequest(long requestId, String statement) implements ControlMessage {}

  /**
   * Response to an {@link AdminRequest}.
   *
   * @param requestId copied from the request
   * @param result rows or an error
   */
  record AdminResponse(long requestId, AdminResult result) implements ControlMessage {}

  /**
   * A command in the replicated log.
   *
   * @param commandId identifies the command when it is sent again; empty for the leader's own
   *     changes
   * @param expectedVersion configuration version that the operator based the change on; -1 for any
   * @param change the change
   */
  record LoggedCommand(String commandId, long expectedVersion, ClusterChange change) {}

  /**
   * Outcome of a logged command.
   *
   * @param status how it ended
   * @param configurationVersion configuration version after the command
   * @param detail text for the operator
   */
  record CommandOutcome(CommandStatus status, long configurationVersion, String detail) {}

  /** How a logged command ended. */
  enum CommandStatus {
    /** The change is in the agreed configuration. */
    ACCEPTED,
    /** Another change was agreed first, so the expected version is no longer current. */
    CONFLICT,
    /** The change is not valid for the configuration. */
    INVALID
  }

  /**
   * An operator's or member's call that a controller forwards to the leader.
   *
   * @param callId number that the result copies
   * @param call the call
   */
  record ForwardedCall(long callId, ServiceCall call) implements ControlMessage {}

  /**
   * Result of a {@link ForwardedCall}.
   *
   * @param callId copied from the call
   * @param result outcome
   */
  record ForwardedResult(long callId, ServiceCall.Result result) implements ControlMessage {}
}
