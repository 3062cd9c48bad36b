package org.streamcourse.process;

/** Unchecked exception with an error code, the step that failed and the peer involved. */
public final class StreamcourseException extends RuntimeException {
  private final ErrorCode code;
  private final String step;
  private final String peer;
  private final long retryAfterMillis;

  /**
   * Creates an error.
   *
   * @param code error code
   * @param step name of the step that failed, such as {@code connect}
   * @param peer node, member or caller on the other side, empty if there is none
   * @param message description for operators and callers
   */
  public StreamcourseException(ErrorCode code, String step, String peer, String message) {
    this(code, step, peer, message, 0, null);
  }

  /**
   * Creates an error with a retry hint and a cause.
   *
   * @param code error code
   * @param step name of the step that failed
   * @param peer node, member or caller on the other side, empty if there is none
   * @param message description for operators and callers
   * @param retryAfterMillis time after which the caller should retry, 0 for no hint
   * @param cause underlying exception, or null
   */
  public StreamcourseException(
      ErrorCode code,
      String step,
      String peer,
      String message,
      long retryAfterMillis,
      Throwable cause) {
    super(message, cause);
    this.code = code;
    this.step = step;
    this.peer = peer;
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Returns the code.
   *
   * @return error code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns the step that failed.
   *
   * @return short step name
   */
  public String step() {
    return step;
  }

  /**
   * Returns the peer involved.
   *
   * @return node, member or caller; empty if there is none
   */
  public String peer() {
    return peer;
  }

  /**
   * Returns the time after which the caller should retry.
   *
   * @return milliseconds, 0 for no hint
   */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }

  @Override
  public String toString() {
    return code + " at " + step + (peer.isEmpty() ? "" : " with " + peer) + ": " + getMessage();
  }
}
