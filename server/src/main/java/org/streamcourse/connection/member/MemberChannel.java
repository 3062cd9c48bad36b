package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;

/** I/O layer of one connection to a member: sends commands and delivers answers. */
public interface MemberChannel {
  /** Is notified of events on a connection, on the proxy's worker. */
  interface Listener {
    /**
     * Called when the network connection is established, before the member has sent anything.
     *
     * @param channel the connection
     */
    void connected(MemberChannel channel);

    /**
     * Called when a complete answer has arrived.
     *
     * @param answer the answer
     */
    void answered(Answer answer);

    /**
     * Called when the connection has ended or could not be opened. No other call follows.
     *
     * @param cause why the connection ended
     */
    void closed(String cause);
  }

  /**
   * Buffers a command until the next {@link #flush}.
   *
   * @param command command to send
   */
  void send(MemberCommand command);

  /** Writes all buffered commands to the connection. */
  void flush();

  /**
   * Returns whether the member may have run the commands that were sent.
   *
   * @return false as long as the commands have certainly not reached the member
   */
  default boolean mayHaveRun() {
    return true;
  }

  /**
   * Signals that the answer is no longer needed, so that commands that have not started need not
   * run. A connection whose commands are still waiting may end; one whose command is running is
   * kept.
   */
  default void withdraw() {}

  /** Closes the connection; the member rolls back an open transaction. */
  void close();
}
