package org.streamcourse.connection.session;

import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.KeyDigest;

/** A message from a caller. */
public sealed interface ClientMessage {
  /**
   * First message on a connection.
   *
   * @param database database name
   * @param key digest of the key that the caller presents; a tenant's key on most routes
   */
  record Start(String database, KeyDigest key) implements ClientMessage {}

  /**
   * A statement.
   *
   * @param request the statement
   */
  record Query(StatementRequest request) implements ClientMessage {}

  /** The caller ends the session. */
  record Terminate() implements ClientMessage {}

  /**
   * Bytes that are not a valid message; the connection is closed.
   *
   * @param code kind of error
   * @param reason description for the caller
   */
  record Unreadable(AnswerCode code, String reason) implements ClientMessage {}
}
