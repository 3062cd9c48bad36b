package org.streamcourse.connection.session;

import org.streamcourse.request.statement.Answer;

/** The connection of one caller, as its session uses it. */
public interface ClientChannel {
  /** Notifies the caller that the session is open and accepts statements. */
  void welcome();

  /**
   * Sends the complete answer to one statement.
   *
   * @param answer the answer
   */
  void answer(Answer answer);

  /**
   * Sends an error that belongs to no statement, and closes the connection.
   *
   * @param error reason for closing
   */
  void refuse(Answer error);

  /** Closes the connection. */
  void close();
}
