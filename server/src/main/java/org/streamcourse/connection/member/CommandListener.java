package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;

/** Is notified once of the outcome of a command sent to a member. */
public interface CommandListener {
  /** Ignores the outcome, for commands whose answer has no effect. */
  CommandListener NONE =
      new CommandListener() {
        @Override
        public void answered(Answer answer) {}

        @Override
        public void lost(String cause) {}
      };

  /**
   * Called when the member has answered the command.
   *
   * @param answer complete answer
   */
  void answered(Answer answer);

  /**
   * Called when the connection ended before the answer arrived: the command is in doubt, it may or
   * may not have run.
   *
   * @param cause why the connection ended
   */
  void lost(String cause);

  /**
   * Called when the command was never handed to the connection, so the member has not run it.
   *
   * @param cause why the command was not sent
   */
  default void notSent(String cause) {
    lost(cause);
  }
}
