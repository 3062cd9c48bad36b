package org.streamcourse.connection.peer;

/**
 * A message for a peer and its encoding.
 *
 * @param message the message
 * @param bytes its encoding
 */
record OutgoingMessage(Object message, byte[] bytes) {
  boolean expectsAnswer() {
    return !(message instanceof OneWayMessage);
  }
}
