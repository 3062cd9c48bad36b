package org.streamcourse.connection.peer;

/** A message that wraps another one; traffic is counted by the type of the wrapped message. */
public interface Envelope {
  /**
   * Returns the wrapped message.
   *
   * @return the wrapped message
   */
  Object message();
}
