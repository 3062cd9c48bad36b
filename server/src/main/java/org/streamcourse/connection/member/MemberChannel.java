package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;

/** One connection to a member, below the meaning of what flows on it. */
public interface MemberChannel {
  /** Hears what happens on a connection; called on the proxy's worker. */
  interface Listener {
    /**
     * The network connection stands; the member has not spoken yet.
     *
     * @param channel the connection
     */
    void connected(MemberChannel channel);

    /**
     * A whole answer came.
     *
     * @param answer the answer
     */
    void answered(Answer answer);

    /**
     * The connection has ended or could not be opened; nothing follows.
     *
     * @param cause what happened
     */
    void closed(String cause);
  }

  /**
   * Sends a command; it leaves with the next {@link #flush}.
   *
   * @param command what to send
   */
  void send(MemberCommand command);

  /** Lets all commands sent so far leave. */
  void flush();

  /**
   * Tells whether the member may have run what was sent.
   *
   * @return false while it has certainly not arrived there
   */
  default boolean mayHaveRun() {
    return true;
  }

  /**
   * Tells that nobody waits for the answer any more: what has not begun need not be run. The
   * connection may end, and is kept where it runs already.
   */
  default void withdraw() {}

  /** Closes the connection; the member rolls back what is open on it. */
  void close();
}
