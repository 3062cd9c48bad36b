package org.streamcourse.connection.wire;

/** Receives the messages of a {@link WireChannel}; called on the channel's event loop. */
public interface WireHandler {
  /**
   * A complete message arrived.
   *
   * @param message the message
   */
  void onMessage(WireMessage message);

  /** All messages of one socket read have been delivered. */
  default void onReadComplete() {}

  /**
   * The channel is closed; no more messages arrive.
   *
   * @param cause error that closed the channel, or null if it was closed without an error
   */
  void onClosed(Throwable cause);
}
