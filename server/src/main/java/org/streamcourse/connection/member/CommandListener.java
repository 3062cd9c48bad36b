package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;

/** Hears the end of one command. */
public interface CommandListener {
  /** Hears nothing; for commands whose answer changes nothing. */
  CommandListener NONE =
      new CommandListener() {
        @Override
        public void answered(Answer answer) {}

        @Override
        public void lost(String cause) {}
      };

  /**
   * The member answered.
   *
   * @param answer whole answer
   */
  void answered(Answer answer);

  /**
   * The connection ended before the answer; the command may or may not have run.
   *
   * @param cause what happened
   */
  void lost(String cause);

  /**
   * The command was never handed to the connection, so the member was not asked it.
   *
   * @param cause what happened
   */
  default void notSent(String cause) {
    lost(cause);
  }
}
