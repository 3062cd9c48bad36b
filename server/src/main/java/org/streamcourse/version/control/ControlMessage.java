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
   * A message of the agreement, for one identity only.
   *
   * @param toIdentity identity for which it is meant; others drop it
   * @param message the message
   */
  record AgreementEnvelope(String toIdentity, AgreementMessage message)
      implements ControlMessage, Envelope {}

  /**
   * A request to be admitted to the agreement, for whoever leads.
   *
   * @param request the request
   */
  record JoinEnvelope(AgreementMessage.JoinRequest request) implements ControlMessage {}

  /**
   * What a gateway knows of one member.
   *
   * @param group group's name
   * @param member member's name
   * @param reachable whether the member answers
   * @param status what it said last
   */
  record MemberReport(String group, String member, boolean reachable, MemberStatus status) {
    /**
     * Compares without the positions, which move on with each write.
     *
     * @param other report of the same member
     * @return whether both tell of the same reachability, term, role and upstream
     */
    boolean hasSameRole(MemberReport other) {
      return reachable == other.reachable
          && status.term() == other.status.term()
          && status.role() == other.status.role()
          && status.upstream().equals(other.status.upstream());
    }
  }

  /**
   * A node's sign of life; also its request to be admitted.
   *
   * @param node the node itself
   * @param sequence number of this heartbeat
   * @param version version that the node has in force
   * @param heldVersion newest version whose allowances the node keeps, after closing what exceeds
   *     them
   * @param leaving true once the node wants to stop
   * @param sessions number of callers' sessions
   * @param all whether the reports are complete
   * @param reports members reached through this node: all, or those whose report changed
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
   * Answer of a leader that a majority confirmed after the heartbeat arrived.
   *
   * @param sequence copied from the heartbeat
   * @param delta changes since the node's version, or null
   * @param image whole image when the changes are no longer kept, or null
   * @param reportAll true when the leader wants all reports in the next heartbeat
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
     * Creates a reply that names no controllers.
     *
     * @param sequence copied from the heartbeat
     * @param delta changes since the node's version, or null
     * @param image whole image when the changes are no longer kept, or null
     * @param reportAll true when the leader wants all reports in the next heartbeat
     */
    public HeartbeatReply(
        long sequence, ClusterDelta delta, ClusterImage image, boolean reportAll) {
      this(sequence, delta, image, reportAll, List.of());
    }
  }

  /**
   * Newly agreed changes, sent to every node at once. A node to which it does not fit asks with its
   * next heartbeat.
   *
   * @param delta the changes
   */
  record ImagePush(ClusterDelta delta) implements ControlMessage {}

  /**
   * Answer of a controller that does not lead.
   *
   * @param leader name of the leader, empty when unknown
   */
  record LeaderHint(String leader) implements ControlMessage {}

  /**
   * What a controller that has just started knows to be agreed; newer versions may have been
   * agreed.
   *
   * @param image stored image, as nodes need it
   */
  record StoredImage(ClusterImage image) implements ControlMessage {}

  /**
   * A proxy that starts asks another one, which has just spoken to it, for the image in force
   * there; answered with {@link StoredImage}.
   */
  record ImageRequest() implements ControlMessage {}

  /**
   * What a node needs of one tenant's limit.
   *
   * @param tenant the tenant
   * @param number number of the newest share that the node knows; 0 for none
   * @param held operations in a window that it keeps to from now on
   * @param used operations in the window that ends now, and what their bursts need besides
   * @param waiting operations that wait
   * @param admitted operations admitted since the report before
   * @param refused operations refused since the report before
   */
  record QuotaDemand(
      TenantId tenant, long number, int held, int used, int waiting, int admitted, int refused) {
    /** Operations that could not run lately. */
    int shortBy() {
      return waiting + refused;
    }

    /**
     * Compares what is needed.
     *
     * @param other another report of the same tenant, or null
     * @return whether the leader would decide the same
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
   * What a node needs of tenants' limits.
   *
   * @param run number of the node's run
   * @param ageMillis time since the run began
   * @param complete whether the node needs nothing of other tenants' limits
   * @param demands what has changed, or all that it needs
   */
  record QuotaReport(long run, long ageMillis, boolean complete, List<QuotaDemand> demands)
      implements ControlMessage {}

  /**
   * A node's share of one tenant's limit.
   *
   * @param tenant the tenant
   * @param number rises with each change
   * @param operations operations in a window
   * @param inherited part of them that former runs of the node had, and may have used lately
   * @param ceiling to what the node shall lower it as soon as its window allows
   * @param exhausted whether asking brings no more
   */
  record QuotaShare(
      TenantId tenant,
      long number,
      int operations,
      int inherited,
      int ceiling,
      boolean exhausted) {}

  /**
   * A leader's word on shares of tenants' limits.
   *
   * @param run run of the node for which it is meant
   * @param shares what has changed
   */
  record QuotaNews(long run, List<QuotaShare> shares) implements ControlMessage {}

  /** What a gateway shall do with a member. */
  enum OrderKind {
    /** Make the member refuse everything of older terms. */
    FENCE,
    /** Make the member primary of the term. */
    PROMOTE,
    /** Make the member a replica of the term's primary. */
    FOLLOW,
    /** Refuse new writes, let open transactions end, then report. */
    HOLD_WRITES,
    /** Take writes again. */
    RELEASE_WRITES
  }

  /**
   * A leader's order about a member.
   *
   * @param orderId number that the result repeats
   * @param group group's name
   * @param member member's name
   * @param kind what to do
   * @param term term of the order
   * @param primary name of the term's primary, for {@link OrderKind#FOLLOW}
   * @param awaited place that the member must have received before the order is carried out
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
   * @param status what the member said afterwards
   * @param detail error text when it was not
   */
  record MemberOrderResult(long orderId, boolean done, MemberStatus status, String detail)
      implements ControlMessage {}

  /**
   * An operator's statement that a controller passes to the leader.
   *
   * @param requestId number that the answer repeats
   * @param statement text of the statement
   */
  record AdminRequest(long requestId, String statement) implements ControlMessage {}

  /**
   * Answer to an {@link AdminRequest}.
   *
   * @param requestId copied from the request
   * @param result rows or an error
   */
  record AdminResponse(long requestId, AdminResult result) implements ControlMessage {}

  /**
   * A command in the replicated log.
   *
   * @param commandId identifies the command among resends; empty for the leader's own changes
   * @param expectedVersion configuration version on which the operator based it; -1 for any
   * @param change the change
   */
  record LoggedCommand(String commandId, long expectedVersion, ClusterChange change) {}

  /**
   * Outcome of a logged command.
   *
   * @param status how it ended
   * @param configurationVersion version after it
   * @param detail text for the operator
   */
  record CommandOutcome(CommandStatus status, long configurationVersion, String detail) {}

  /** How a logged command ended. */
  enum CommandStatus {
    /** The change is in the agreed configuration. */
    ACCEPTED,
    /** Another change came first under the expected version. */
    CONFLICT,
    /** The change does not fit the configuration. */
    INVALID
  }

  /**
   * A call from outside that a controller passes to the leader.
   *
   * @param callId number that the answer repeats
   * @param call the call
   */
  record ForwardedCall(long callId, ServiceCall call) implements ControlMessage {}

  /**
   * Answer to a {@link ForwardedCall}.
   *
   * @param callId copied from the call
   * @param result outcome
   */
  record ForwardedResult(long callId, ServiceCall.Result result) implements ControlMessage {}
}
