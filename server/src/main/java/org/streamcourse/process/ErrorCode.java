package org.streamcourse.process;

/**
 * All errors that Streamcourse raises, each with the SQLSTATE that callers receive.
 *
 * <p>docs/OUTCOMES.md describes what each code means for a caller's request.
 */
public enum ErrorCode {
  /** A settings file or flag is invalid. */
  INVALID_SETTINGS("F0000", false),
  /** A frame from a peer violates the wire protocol. */
  PROTOCOL_VIOLATION("08P01", false),
  /** The caller's password is wrong. */
  AUTHENTICATION_FAILED("28P01", false),
  /** No database group has this name. */
  UNKNOWN_DATABASE("3D000", false),
  /** The floor token given by the caller is damaged or was not issued by this fleet. */
  INVALID_FLOOR_TOKEN("28000", false),
  /** Not run: no member could accept the request in time. */
  NO_MEMBER_AVAILABLE("57P03", true),
  /** Not run: the admission queue is full or can't admit the request before its deadline. */
  OVERLOADED("53300", true),
  /** Not run: the node is stopping or has lost contact with the controllers. */
  NODE_NOT_SERVING("57P01", true),
  /** The request may or may not have run. */
  OUTCOME_UNKNOWN("08007", false),
  /** Not run: a request with this name has run before, and its effect is committed. */
  REQUEST_ALREADY_RUN("SC001", false),
  /** A read was interrupted; it changed nothing and can be repeated. */
  READ_INTERRUPTED("08006", true),
  /** The caller uses a protocol feature that is not supported. */
  UNSUPPORTED("0A000", false),
  /** An operator's command is invalid. */
  INVALID_COMMAND("42601", false),
  /** An operator's command named a version that is not the current one. */
  VERSION_CONFLICT("40001", false),
  /** The replicated log on disk is damaged before its tail. */
  CORRUPT_LOG("XX001", false),
  /** The transaction has failed; only its end is accepted. */
  TRANSACTION_FAILED("25P02", true),
  /** An internal error. */
  INTERNAL("XX000", false);

  private final String sqlState;
  private final boolean notRun;

  ErrorCode(String sqlState, boolean notRun) {
    this.sqlState = sqlState;
    this.notRun = notRun;
  }

  /**
   * Returns the SQLSTATE that callers see.
   *
   * @return five characters
   */
  public String sqlState() {
    return sqlState;
  }

  /**
   * Returns whether the request is known to have had no effect.
   *
   * @return true if repeating the request is safe
   */
  public boolean isNotRun() {
    return notRun;
  }
}
