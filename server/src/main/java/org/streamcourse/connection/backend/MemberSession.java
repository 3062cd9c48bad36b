package org.streamcourse.connection.backend;

import org.streamcourse.connection.wire.WireMessage;

/** An established connection to a member. */
public interface MemberSession {
  /** Receives a member's messages. */
  interface Listener {
    /**
     * A message arrived.
     *
     * @param message a message of any type, including ParameterStatus and NoticeResponse
     */
    void onMessage(WireMessage message);

    /** All messages of one socket read have been delivered. */
    void onReadComplete();

    /**
     * The connection is closed.
     *
     * @param cause reason for the close
     */
    void onClosed(String cause);
  }

  /**
   * Sets the listener; each use of the connection sets its own.
   *
   * @param listener the listener
   */
  void listen(Listener listener);

  /**
   * Sends messages.
   *
   * @param messages complete messages
   */
  void send(byte[] messages);

  /** Stops reading. */
  void pauseReading();

  /** Resumes reading. */
  void resumeReading();

  /** Sends a cancel request for the running statement over another connection. */
  void cancel();

  /**
   * Requests the member to close the connection. Messages that still arrive are dropped; the
   * listener is not called any more.
   *
   * @param whenEnded runs once, on any thread, when the member has closed the connection, so that
   *     neither the connection nor a statement on it counts at the member any more; at once if the
   *     connection is closed already
   */
  void end(Runnable whenEnded);

  /** Closes the connection without waiting for the member. */
  void close();
}
