package org.streamcourse.connection.session;

import org.streamcourse.request.statement.Answer;

/** A message to a caller. */
public sealed interface ClientReply {
  /** The session is open. */
  record Welcome() implements ClientReply {}

  /**
   * Answer to a statement.
   *
   * @param answer the answer
   */
  record Answered(Answer answer) implements ClientReply {}

  /**
   * An error that belongs to no statement; the connection is closed after it.
   *
   * @param error reason for closing
   */
  record Refused(Answer error) implements ClientReply {}
}
