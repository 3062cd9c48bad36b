package org.streamcourse.connection.frontend;

import org.streamcourse.connection.wire.Backend;
import org.streamcourse.process.StreamcourseException;

/** Converts exceptions of the proxy into ErrorResponse messages. */
final class ErrorResponses {
  private ErrorResponses() {}

  static byte[] of(String severity, StreamcourseException error) {
    return of(severity, error, "");
  }

  /** Appends the request id to the detail; the log lines of all nodes are found by this id. */
  static byte[] of(String severity, StreamcourseException error, String request) {
    String outcome = error.code().isNotRun() ? "not run; " : "";
    String peer = error.peer().isEmpty() ? "" : ", peer " + error.peer();
    String detail = outcome + "code " + error.code() + ", step " + error.step() + peer;
    detail += request.isEmpty() ? "" : ", request " + request;
    String hint = error.retryAfterMillis() > 0 ? "retry_after_ms=" + error.retryAfterMillis() : "";
    return Backend.error(severity, error.code().sqlState(), error.getMessage(), detail, hint);
  }
}
