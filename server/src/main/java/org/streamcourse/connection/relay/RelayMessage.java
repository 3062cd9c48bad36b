package org.streamcourse.connection.relay;

import java.util.List;
import java.util.Map;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.connection.peer.OneWayMessage;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;

/**
 * Messages between a node that has a caller's statement and a holder of connections to the member
 * that is to run it.
 *
 * <p>A stream is one unit of work: a statement, or a transaction. It ends with the answer that
 * leaves the member's session idle, with {@link Refused}, with {@link Ended}, or with the loss of
 * the peer link. Its number is assigned by the sender and never reused by the same incarnation of
 * the sender.
 */
public sealed interface RelayMessage {
  /** One command of a unit of work. */
  sealed interface Step {}

  /**
   * A command that has the same meaning on every connection.
   *
   * @param command a statement, the beginning of a transaction, or a rollback
   */
  record Direct(MemberCommand command) implements Step {}

  /**
   * A caller's execution of a prepared statement; the holder maps the shape to the name under which
   * it is prepared on its connection.
   *
   * @param id identity of the caller's statement
   * @param shape prepared statement
   * @param arguments the rest of the caller's text
   * @param floor position that the member's log must have reached, or null
   */
  record ExecuteShape(StatementId id, PreparedShape shape, String arguments, TermPosition floor)
      implements Step {}

  /** Rolls back the open transaction and ends the stream; it is not answered. */
  record Finish() implements Step {}

  /**
   * Opens a stream.
   *
   * @param stream number of the stream
   * @param service service of the member
   * @param member the member
   * @param tenant tenant of the work
   * @param anyTenant whether a connection of any tenant can be used
   * @param priority priority among requests that wait for a connection; 0 is served first
   * @param needsPrimary whether only the primary can do the work
   * @param maxWaitMillis longest wait for a connection
   * @param values values of the caller's session
   * @param steps steps to run, one after the other
   * @param standIn whether the receiver acts as a fallback holder, since no holder is available
   * @param floor floor of a read as of the time of sending, or null
   */
  record Open(
      long stream,
      String service,
      MemberId member,
      TenantId tenant,
      boolean anyTenant,
      int priority,
      boolean needsPrimary,
      long maxWaitMillis,
      Map<String, String> values,
      List<Step> steps,
      boolean standIn,
      ReadFloor floor)
      implements RelayMessage {
    /**
     * Returns the identity of the caller's first statement, or null if only a transaction begins.
     */
    public StatementId firstStatement() {
      for (Step step : steps) {
        if (step instanceof ExecuteShape execute) {
          return execute.id();
        }
        if (step instanceof Direct direct && direct.command() instanceof MemberCommand.Run run) {
          return run.id();
        }
      }
      return null;
    }
  }

  /**
   * Continues a transaction.
   *
   * @param stream number of the stream
   * @param values values of the caller's session, or null when they have not changed
   * @param steps steps to run, one after the other
   */
  record Continue(long stream, Map<String, String> values, List<Step> steps)
      implements RelayMessage {}

  /**
   * Closes a stream and rolls back its open transaction. Answered with {@link Ended}.
   *
   * @param stream number of the stream
   */
  record Close(long stream) implements RelayMessage {}

  /**
   * Withdraws a request whose answer the sender no longer needs. Work that waits for a connection
   * is not started and ends with {@link Ended}; running work continues, so that its connection is
   * kept.
   *
   * @param stream number of the stream
   */
  record Withdraw(long stream) implements RelayMessage {}

  /**
   * The member's answers to the steps of one message, up to the first that failed.
   *
   * @param stream number of the stream
   * @param answers complete answers, in order
   * @param observation state of the member as the holder observes it
   */
  record Answered(long stream, List<Answer> answers, MemberObservation observation)
      implements RelayMessage, OneWayMessage {}

  /** Why no connection is granted. */
  enum Refusal {
    /** All connections or slots are in use. */
    BUSY,
    /** The holder can't reach the member, or the member is draining. */
    MEMBER_UNUSABLE,
    /** The node holds no connections to the member, or is stopping. */
    NOT_HELD,
    /** The member stays behind the floor of the read for longer than the read may wait. */
    BEHIND
  }

  /**
   * Refuses a connection; the member has run nothing.
   *
   * @param stream number of the stream
   * @param refusal kind of refusal
   * @param cause text for a person
   * @param retryAfterMillis time after which a connection may be available
   * @param observation state of the member as the holder observes it, or null when the node holds
   *     no connections to the member
   */
  record Refused(
      long stream,
      Refusal refusal,
      String cause,
      long retryAfterMillis,
      MemberObservation observation)
      implements RelayMessage, OneWayMessage {}

  /**
   * Ends a stream without an answer to its newest steps.
   *
   * @param stream number of the stream
   * @param cause text for a person
   */
  record Ended(long stream, String cause) implements RelayMessage, OneWayMessage {}

  /** Requests a {@link Pong} from a holder that is unresponsive or has not responded yet. */
  record Ping() implements RelayMessage {}

  /** Answers a {@link Ping} immediately. */
  record Pong() implements RelayMessage, OneWayMessage {}

  /**
   * Sends a holder's observation of a member to nodes that recently relayed work to the holder.
   *
   * @param service service of the member
   * @param member the member
   * @param observation state of the member as the holder observes it
   */
  record News(String service, MemberId member, MemberObservation observation)
      implements RelayMessage, OneWayMessage {}

  /**
   * Returns which side of a relay the message is for.
   *
   * @return true for the holder, false for the sender of the work
   */
  default boolean isForHolder() {
    return this instanceof Open
        || this instanceof Continue
        || this instanceof Close
        || this instanceof Withdraw
        || this instanceof Ping;
  }
}
