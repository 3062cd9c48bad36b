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
 * Messages between a node that has a caller's statement and a node that holds connections to the
 * member that is to run it.
 *
 * <p>A stream is one unit of work: a statement, or a transaction. It ends with the answer that
 * leaves the member's session idle, with {@link Refused}, with {@link Ended}, or with the loss of
 * the link between the nodes. Its number is the sender's own and is never used again by the same
 * run of the sender.
 */
public sealed interface RelayMessage {
  /** What a member is asked to do. */
  sealed interface Step {}

  /**
   * A command that means the same on every connection.
   *
   * @param command a statement, the beginning of a transaction, or a rollback
   */
  record Direct(MemberCommand command) implements Step {}

  /**
   * A caller's execution of a prepared statement; the holder knows the name under which the shape
   * is prepared on its connection.
   *
   * @param id identity of the caller's statement
   * @param shape what is executed
   * @param arguments the rest of the caller's text
   * @param floor place that the member's log must have, or null
   */
  record ExecuteShape(StatementId id, PreparedShape shape, String arguments, TermPosition floor)
      implements Step {}

  /** Rolls back what is open and ends the stream; it is not answered. */
  record Finish() implements Step {}

  /**
   * Opens a stream.
   *
   * @param stream its number
   * @param service service of the member
   * @param member the member
   * @param tenant whose work it is
   * @param anyTenant whether a connection of any tenant will do
   * @param priority rank among those who wait for a connection; 0 is served first
   * @param needsPrimary whether only the primary can do the work
   * @param maxWaitMillis longest wait for a connection
   * @param values values of the caller's session
   * @param steps what the member is asked, one after the other
   * @param standIn whether the node shall stand in for the holders, of which none can be asked
   * @param floor what a read needs, as of when this is sent, or null
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
    /** Identity of the first caller's statement, or null when only a transaction is begun. */
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
   * Goes on with a transaction.
   *
   * @param stream number of its stream
   * @param values values of the caller's session, or null when they have not changed
   * @param steps what the member is asked
   */
  record Continue(long stream, Map<String, String> values, List<Step> steps)
      implements RelayMessage {}

  /**
   * The sender is done; what is open is rolled back. Answered with {@link Ended}.
   *
   * @param stream number of the stream
   */
  record Close(long stream) implements RelayMessage {}

  /**
   * The sender no longer needs the answer. Work that waits for a connection is not begun and ends
   * with {@link Ended}; what runs goes on, so that its connection is kept.
   *
   * @param stream number of the stream
   */
  record Withdraw(long stream) implements RelayMessage {}

  /**
   * The member's answers to the steps that came together, up to the first that failed.
   *
   * @param stream number of the stream
   * @param answers whole answers, in order
   * @param observation what the holder knows of the member
   */
  record Answered(long stream, List<Answer> answers, MemberObservation observation)
      implements RelayMessage, OneWayMessage {}

  /** Why no connection is given. */
  enum Refusal {
    /** All are in use. */
    BUSY,
    /** The holder can't reach the member, or the member leaves. */
    MEMBER_UNUSABLE,
    /** The node holds no connections to the member, or stops. */
    NOT_HELD,
    /** The member lacks the floor of the read for longer than that may wait. */
    BEHIND
  }

  /**
   * No connection is given; the member was asked nothing.
   *
   * @param stream number of the stream
   * @param refusal kind of refusal
   * @param cause text for a person
   * @param retryAfterMillis when there may be a connection
   * @param observation what the holder knows of the member, or null when it holds no connections to
   *     it
   */
  record Refused(
      long stream,
      Refusal refusal,
      String cause,
      long retryAfterMillis,
      MemberObservation observation)
      implements RelayMessage, OneWayMessage {}

  /**
   * The stream has ended without an answer to what was asked last.
   *
   * @param stream number of the stream
   * @param cause text for a person
   */
  record Ended(long stream, String cause) implements RelayMessage, OneWayMessage {}

  /** Asks a holder that is silent for a sign of life. */
  record Ping() implements RelayMessage {}

  /** Answers a {@link Ping} at once. */
  record Pong() implements RelayMessage, OneWayMessage {}

  /**
   * Tells what a holder knows of a member, to nodes that lately had work for it; it asks nothing.
   *
   * @param service service of the member
   * @param member the member
   * @param observation what the holder knows
   */
  record News(String service, MemberId member, MemberObservation observation)
      implements RelayMessage, OneWayMessage {}

  /**
   * Tells which side of a relay the message is for.
   *
   * @return true for the side that holds connections
   */
  default boolean isForHolder() {
    return this instanceof Open
        || this instanceof Continue
        || this instanceof Close
        || this instanceof Withdraw
        || this instanceof Ping;
  }
}
