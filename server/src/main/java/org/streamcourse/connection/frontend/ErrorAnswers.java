package org.streamcourse.connection.frontend;

import org.streamcourse.connection.wire.Backend;
import org.streamcourse.process.StreamcourseException;

/** Turns errors of the product into messages for callers. */
final class ErrorAnswers {
  private ErrorAnswers() {}

  static byte[] of(String severity, StreamcourseException error) {
    return of(severity, error, "");
  }

  /** Ends the detail with the request's id, by which the logs of all nodes explain it. */
  static byte[] of(String severity, StreamcourseException error, String request) {
    String outcome = error.code().isNotRun() ? "not run; " : "";
    String peer = error.peer().isEmpty() ? "" : ", peer " + error.peer();
    String detail = outcome + "code " + error.code() + ", step " + error.step() + peer;
    detail += request.isEmpty() ? "" : ", request " + request;
    String hint = error.retryAfterMillis() > 0 ? "retry_after_ms=" + error.retryAfterMillis() : "";
    return Backend.error(severity, error.code().sqlState(), error.getMessage(), detail, hint);
  }
}
