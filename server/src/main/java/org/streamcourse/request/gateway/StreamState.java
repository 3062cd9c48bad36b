package org.streamcourse.request.gateway;

/** State of a gateway's stream, which names what the stream waits for. */
enum StreamState {
  /** Waits for admission, or for a connection with a slot. */
  ADMITTING,
  /** Waits until the session's parameters are set on the connection. */
  PREPARING,
  /** Waits for the claim of a request's name, or for the commit of a named request. */
  NAMING,
  /** Waits for the answer to the unit. */
  RUNNING,
  /** Waits until a majority has received a commit. */
  ACKNOWLEDGING,
  /** Waits for the next unit of an open transaction. */
  OPEN,
  /** Waits for the reset of a connection on which the session left state behind. */
  RESETTING,
  /** The stream has ended. */
  CLOSED;

  /** Whether the member may be running statements on the stream's connection. */
  boolean isMemberWorking() {
    return this == PREPARING || this == NAMING || this == RUNNING;
  }
}
