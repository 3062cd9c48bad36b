package org.streamcourse.request.statement;

/** Outcome of a statement, as answered by a member or by a node. */
public enum AnswerCode {
  /** The statement ran and completed. */
  COMPLETE(true),
  /** Not run: no capacity now; the caller may retry later. */
  BUSY(true),
  /** The transaction was aborted; none of its writes are kept. */
  ABORTED(true),
  /** Not run: the member's log has not reached the requested position. */
  BEHIND(true),
  /** Not run: the member is not primary. */
  READ_ONLY(true),
  /** Not run: the connection leads to another member than expected. */
  WRONG_MEMBER(true),
  /** Not run: the member accepts no more connections. */
  TOO_MANY_CONNECTIONS(true),
  /** Not run: the prepared name does not exist. */
  UNKNOWN_NAME(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** The statement did not end in time. */
  TIMEOUT(false),
  /** The statement may or may not have run. */
  OUTCOME_UNKNOWN(false),
  /** Not run: the caller may not connect. */
  NOT_ALLOWED(true),
  /** Not run: the database name is unknown. */
  UNKNOWN_DATABASE(true),
  /** Not run: the message is too large. */
  TOO_LARGE(true),
  /** Not run: the text is not a valid statement, or not allowed in the session's state. */
  MALFORMED(true);

  private final boolean noEffect;

  AnswerCode(boolean noEffect) {
    this.noEffect = noEffect;
  }

  /**
   * Returns whether the statement has certainly left no effects, because it did not run or was
   * rolled back.
   *
   * @return true when repeating it is safe
   */
  public boolean hasNoEffect() {
    return noEffect && this != COMPLETE;
  }
}
