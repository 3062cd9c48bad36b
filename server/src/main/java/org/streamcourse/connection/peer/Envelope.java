package org.streamcourse.connection.peer;

/** A message that carries another one, by whose type it is counted. */
public interface Envelope {
  /**
   * Returns what is carried.
   *
   * @return the message inside
   */
  Object message();
}
