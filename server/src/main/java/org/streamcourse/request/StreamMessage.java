package org.streamcourse.request;

import java.util.List;
import org.streamcourse.connection.peer.OneWayMessage;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;

/**
 * Messages between the edge, which holds a caller's session, and the gateway of a member. A stream
 * is the use of one member connection: for one unit of work, or for a whole transaction.
 */
public sealed interface StreamMessage {
  /** Purpose of a stream. */
  enum Purpose {
    /** Only reads; any member that is fresh enough may serve the stream. */
    READ,
    /** May write; only the primary may serve the stream. */
    WRITE
  }

  /**
   * Opens a stream and sends its first unit.
   *
   * @param streamId number of the stream, unique within this incarnation of the edge
   * @param group group's name
   * @param member member's name
   * @param user caller's user name; the pool serves the waiting users of a member in turn
   * @param purpose purpose of the stream
   * @param floor lowest log position that a read must observe
   * @param maxStalenessMillis highest staleness accepted for a read
   * @param budgetMillis time within which the unit must start to run
   * @param settings statements that set the session's parameters
   * @param unit first unit
   */
  record OpenStream(
      long streamId,
      String group,
      String member,
      String user,
      Purpose purpose,
      TermPosition floor,
      long maxStalenessMillis,
      long budgetMillis,
      List<String> settings,
      Unit unit)
      implements StreamMessage {}

  /**
   * A unit of work: client messages up to a Sync, a Flush or a simple query.
   *
   * @param messages the messages, as they are sent to the member
   * @param endsWithReady whether the member will answer with ReadyForQuery
   * @param mayCommit whether the unit may commit; its answer is then held until a majority has
   *     received the commit
   * @param changesSession whether the unit may leave state behind in the member's session
   * @param requestKey name that the caller gave to the request, so that it runs once however often
   *     it is sent; empty when the request has no name
   */
  record Unit(
      byte[] messages,
      boolean endsWithReady,
      boolean mayCommit,
      boolean changesSession,
      String requestKey) {}

  /**
   * Sends a further unit on an open stream.
   *
   * @param streamId the stream
   * @param unit the unit
   * @param budgetMillis time within which the unit must start to run
   */
  record NextUnit(long streamId, Unit unit, long budgetMillis) implements StreamMessage {}

  /**
   * Allows the gateway to send more bytes of the answer.
   *
   * @param streamId the stream
   * @param bytes number of bytes that the caller has read
   */
  record Credit(long streamId, int bytes) implements StreamMessage, OneWayMessage {}

  /**
   * Ends a stream; an open transaction is rolled back.
   *
   * @param streamId the stream
   */
  record CloseStream(long streamId) implements StreamMessage, OneWayMessage {}

  /**
   * Asks the member to cancel the running unit.
   *
   * @param streamId the stream
   */
  record CancelUnit(long streamId) implements StreamMessage, OneWayMessage {}

  /**
   * Keep-alive for open streams. The edge sends it for the streams that it holds open at the
   * gateway, and the gateway for those that it still serves.
   *
   * @param streamIds the open streams
   */
  record KeepStreams(List<Long> streamIds) implements StreamMessage, OneWayMessage {}

  /**
   * Part of an answer: one or more complete messages of the member.
   *
   * @param streamId the stream
   * @param number number of the part, 1 for the stream's first; a gap means that a part was lost
   * @param messages the messages
   */
  record Output(long streamId, int number, byte[] messages)
      implements StreamMessage, OneWayMessage {}

  /**
   * The unit's answer is complete, except for ReadyForQuery, which the edge sends itself.
   *
   * @param streamId the stream
   * @param status transaction status
   * @param position log position of the commit for a unit that committed a write, otherwise the
   *     position that the member had applied when the unit ended
   * @param committed whether the unit committed a write
   * @param open whether the stream stays open
   * @param parts number of the stream's last {@link Output} so far, 0 for none
   */
  record UnitDone(
      long streamId, char status, TermPosition position, boolean committed, boolean open, int parts)
      implements StreamMessage, OneWayMessage {}

  /** Why a gateway did not run a unit. */
  enum Refusal {
    /** The member has not reached the floor. */
    BEHIND_FLOOR,
    /** There is no proof in time that the member is fresh enough. */
    NOT_FRESH,
    /** The member is not the primary, or its writes are held. */
    NOT_PRIMARY,
    /** The member does not answer. */
    UNREACHABLE,
    /** The limits do not allow the unit to start in time. */
    OVERLOADED,
    /**
     * This node is not a gateway of the member, is stopping, or lost contact with the controllers.
     */
    NOT_SERVING
  }

  /**
   * The unit was not run, and the stream is closed.
   *
   * @param streamId the stream
   * @param refusal reason of the refusal
   * @param applied last log position that the member is known to have applied
   * @param retryAfterMillis time after which the unit may be tried here again
   */
  record Refused(long streamId, Refusal refusal, TermPosition applied, long retryAfterMillis)
      implements StreamMessage, OneWayMessage {}

  /**
   * The unit may have begun and its outcome is not known; the stream is closed.
   *
   * @param streamId the stream
   * @param step step at which the stream broke
   * @param detail cause of the break
   */
  record Broken(long streamId, String step, String detail)
      implements StreamMessage, OneWayMessage {}

  /**
   * Requests the current log positions of a member through a gateway, which queries the member.
   *
   * @param requestId number that the reply repeats
   * @param group group's name
   * @param member member's name
   */
  record PositionRequest(long requestId, String group, String member) implements StreamMessage {}

  /**
   * Status of a member at some time after the request arrived.
   *
   * @param requestId copied from the request
   * @param member member's name
   * @param known false when the member does not answer
   * @param status the member's status, with its log positions
   */
  record PositionReply(long requestId, String member, boolean known, MemberStatus status)
      implements StreamMessage, OneWayMessage {}

  /**
   * Requests a report from a replica's gateway once the replica has received a log position under a
   * term.
   *
   * @param group group's name
   * @param member the replica
   * @param term term of the primary that sent the log up to the position
   * @param position log position to wait for
   */
  record AwaitReceived(String group, String member, long term, TermPosition position)
      implements StreamMessage, OneWayMessage {}

  /**
   * Reports the log position that a replica has received under a term.
   *
   * @param group group's name
   * @param member the replica
   * @param term term in which the replica's log matched its primary's
   * @param matched end of the matching part of the log
   */
  record ReceivedReport(String group, String member, long term, TermPosition matched)
      implements StreamMessage, OneWayMessage {}
}
