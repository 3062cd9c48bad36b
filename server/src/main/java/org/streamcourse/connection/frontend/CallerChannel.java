package org.streamcourse.connection.frontend;

/** A caller's connection as used by its session; the simulator implements it without a network. */
public interface CallerChannel {
  /**
   * Sends messages.
   *
   * @param messages complete messages
   */
  void send(byte[] messages);

  /**
   * Sends messages and reports when they have been written to the caller's connection.
   *
   * @param messages complete messages
   * @param written runs once the messages are written, on any thread
   */
  void send(byte[] messages, Runnable written);

  /** Stops reading. */
  void pauseReading();

  /** Resumes reading. */
  void resumeReading();

  /** Closes the connection once all sent messages are written. */
  void close();
}
