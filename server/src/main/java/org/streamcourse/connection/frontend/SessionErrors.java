package org.streamcourse.connection.frontend;

import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/** The errors that a session raises by itself; no member has run what they concern. */
final class SessionErrors {
  /** Time after which a caller may connect to another proxy. */
  private static final long STOP_RETRY_AFTER_MILLIS = 100;

  private SessionErrors() {}

  static StreamcourseException violation(String what) {
    return new StreamcourseException(ErrorCode.PROTOCOL_VIOLATION, "read-caller", "", what);
  }

  static StreamcourseException stopping(boolean inTransaction) {
    String transaction = inTransaction ? " and has rolled back the transaction" : "";
    return new StreamcourseException(
        ErrorCode.NODE_NOT_SERVING,
        "drain",
        "",
        "this proxy is stopping" + transaction + "; connect to another one",
        STOP_RETRY_AFTER_MILLIS,
        null);
  }

  static StreamcourseException transactionLost() {
    return new StreamcourseException(
        ErrorCode.TRANSACTION_FAILED,
        "transaction",
        "",
        "the transaction was lost; end it with ROLLBACK");
  }

  static StreamcourseException requestKeyNotApplicable() {
    return new StreamcourseException(
        ErrorCode.UNSUPPORTED,
        "request-key",
        "",
        SessionParameters.REQUEST_KEY
            + " applies only to a plain write outside a transaction; the statement was not run");
  }

  static StreamcourseException noFloor(String group, long waitedMillis) {
    return new StreamcourseException(
        ErrorCode.NO_MEMBER_AVAILABLE,
        "read-floor",
        group,
        "no floor received from a majority of the group; the request was not run",
        waitedMillis,
        null);
  }

  static StreamcourseException unknownParameter(String name) {
    return new StreamcourseException(
        ErrorCode.INVALID_COMMAND, "show", "", "no parameter \"" + name + "\"");
  }
}
