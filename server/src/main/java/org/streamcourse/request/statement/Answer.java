package org.streamcourse.request.statement;

import java.util.List;
import org.streamcourse.version.image.TermPosition;

/**
 * The whole answer to one statement.
 *
 * @param rows rows, unchanged
 * @param code how it ended
 * @param text signature of the member when it completed, else a text for a person
 * @param state state of the session afterwards
 * @param position place in the member's log, or null when none is known
 */
public record Answer(
    List<String> rows, AnswerCode code, String text, SessionState state, TermPosition position) {
  /** Signature of what the product answers by itself. */
  public static final String NO_SIGNATURE = "-";

  /**
   * Creates the success of a statement that no member runs.
   *
   * @param state state of the session afterwards
   * @return answer
   */
  public static Answer local(SessionState state) {
    return new Answer(List.of(), AnswerCode.COMPLETE, NO_SIGNATURE, state, null);
  }

  /**
   * Creates an error.
   *
   * @param code what happened
   * @param text text for a person
   * @param state state of the session afterwards
   * @return answer
   */
  public static Answer error(AnswerCode code, String text, SessionState state) {
    return new Answer(List.of(), code, text, state, null);
  }

  /**
   * Creates an error outside a transaction that tells when to come back.
   *
   * @param code what happened
   * @param cause text for a person
   * @param retryAfterMillis time to come back, or 0 to tell none
   * @return answer
   */
  public static Answer refusal(AnswerCode code, String cause, long retryAfterMillis) {
    String text = retryAfterMillis > 0 ? cause + "; retry-after-ms=" + retryAfterMillis : cause;
    return error(code, text, SessionState.IDLE);
  }

  /**
   * Tells whether the statement completed.
   *
   * @return true unless it is an error
   */
  public boolean isComplete() {
    return code == AnswerCode.COMPLETE;
  }

  /**
   * Replaces the state.
   *
   * @param next state to tell
   * @return changed answer
   */
  public Answer withState(SessionState next) {
    return new Answer(rows, code, text, next, position);
  }
}
