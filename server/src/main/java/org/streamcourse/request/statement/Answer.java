package org.streamcourse.request.statement;

import java.util.List;
import org.streamcourse.version.image.TermPosition;

/**
 * The whole answer to one statement.
 *
 * @param rows rows, unchanged
 * @param code outcome of the statement
 * @param text signature of the member for a completed statement, else an error message
 * @param state session state after the statement
 * @param position position in the member's log, or null when unknown
 */
public record Answer(
    List<String> rows, AnswerCode code, String text, SessionState state, TermPosition position) {
  /** Time after which to retry a statement that was not run, unless more is known. */
  public static final long RETRY_AFTER_MILLIS = 100;

  /** Signature of statements that no member runs. */
  public static final String NO_SIGNATURE = "-";

  /**
   * Creates the success of a statement that no member runs.
   *
   * @param state session state after the statement
   * @return answer
   */
  public static Answer local(SessionState state) {
    return new Answer(List.of(), AnswerCode.COMPLETE, NO_SIGNATURE, state, null);
  }

  /**
   * Creates an error.
   *
   * @param code kind of error
   * @param text error message
   * @param state session state after the statement
   * @return answer
   */
  public static Answer error(AnswerCode code, String text, SessionState state) {
    return new Answer(List.of(), code, text, state, null);
  }

  /**
   * Creates an error outside a transaction, with a retry time.
   *
   * @param code kind of error
   * @param cause error message
   * @param retryAfterMillis time after which to retry, or 0 to give none
   * @return answer
   */
  public static Answer refusal(AnswerCode code, String cause, long retryAfterMillis) {
    String text = retryAfterMillis > 0 ? cause + "; retry-after-ms=" + retryAfterMillis : cause;
    return error(code, text, SessionState.IDLE);
  }

  /**
   * Returns whether the statement completed.
   *
   * @return true unless it is an error
   */
  public boolean isComplete() {
    return code == AnswerCode.COMPLETE;
  }

  /**
   * Returns a copy with another session state.
   *
   * @param next session state of the copy
   * @return the copy
   */
  public Answer withState(SessionState next) {
    return new Answer(rows, code, text, next, position);
  }
}
