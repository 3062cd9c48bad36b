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
  /** What a stream is for. */
  enum Purpose {
    /** Reads only; any member that is fresh enough may serve it. */
    READ,
    /** May write; only the primary serves it. */
    WRITE
  }

  /**
   * Opens a stream and sends its first unit.
   *
   * @param streamId number of the stream, unique for this start of the edge
   * @param group group's name
   * @param member member's name
   * @param user caller's user name; users share a member's connections and slots in turn
   * @param purpose what the stream is for
   * @param floor place that a read must see
   * @param maxStalenessMillis oldest answer accepted for a read
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
   * @param messages the messages, as the member gets them
   * @param endsWithReady whether the member will answer with ReadyForQuery
   * @param mayCommit whether a commit may happen in it; its answer is then held until a majority
   *     has received the commit
   * @param changesSession whether it may leave state behind in the member's session
   * @param requestKey name that the caller gave to the request, so that it runs once however often
   *     it is sent; empty when it has none
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
   * @param bytes number of bytes that the caller has taken
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
   * Shows that the edge still holds its open streams at this gateway.
   *
   * @param streamIds the streams
   */
  record KeepStreams(List<Long> streamIds) implements StreamMessage, OneWayMessage {}

  /**
   * Part of an answer: whole messages of the member.
   *
   * @param streamId the stream
   * @param number 1 for the stream's first part; a gap shows that one was lost
   * @param messages the messages
   */
  record Output(long streamId, int number, byte[] messages)
      implements StreamMessage, OneWayMessage {}

  /**
   * The unit's answer is complete, up to but without ReadyForQuery.
   *
   * @param streamId the stream
   * @param status transaction status
   * @param position place of the commit for a unit that committed a write, otherwise the applied
   *     place of the member when the unit ended
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
    /** It could not be shown that the member is fresh enough. */
    NOT_FRESH,
    /** The member is not the primary or writes are held. */
    NOT_PRIMARY,
    /** The member does not answer. */
    UNREACHABLE,
    /** The limits do not allow the unit to start in time. */
    OVERLOADED,
    /**
     * This node is not a gateway of the member, is stopping, or lost touch with the controllers.
     */
    NOT_SERVING
  }

  /**
   * The unit was not run, and the stream is closed.
   *
   * @param streamId the stream
   * @param refusal why
   * @param applied last place known to be applied at the member
   * @param retryAfterMillis when it may be tried here again
   */
  record Refused(long streamId, Refusal refusal, TermPosition applied, long retryAfterMillis)
      implements StreamMessage, OneWayMessage {}

  /**
   * The unit was begun and its outcome is not known; the stream is closed.
   *
   * @param streamId the stream
   * @param step step at which it broke
   * @param detail what happened
   */
  record Broken(long streamId, String step, String detail)
      implements StreamMessage, OneWayMessage {}

  /**
   * Asks a gateway to ask a member, now, where it stands.
   *
   * @param requestId number that the answer repeats
   * @param group group's name
   * @param member member's name
   */
  record PositionRequest(long requestId, String group, String member) implements StreamMessage {}

  /**
   * Where a member stood at some time after the request arrived.
   *
   * @param requestId copied from the request
   * @param member member's name
   * @param known false when the member does not answer
   * @param status what it said
   */
  record PositionReply(long requestId, String member, boolean known, MemberStatus status)
      implements StreamMessage, OneWayMessage {}

  /**
   * Asks a replica's gateway to tell when the replica has received a place under a term.
   *
   * @param group group's name
   * @param member the replica
   * @param term term of the primary that wrote it
   * @param position place to wait for
   */
  record AwaitReceived(String group, String member, long term, TermPosition position)
      implements StreamMessage, OneWayMessage {}

  /**
   * A replica has received a place under a term.
   *
   * @param group group's name
   * @param member the replica
   * @param term term in which it matched its primary's log
   * @param matched end of the matching part
   */
  record ReceivedReport(String group, String member, long term, TermPosition matched)
      implements StreamMessage, OneWayMessage {}
}
