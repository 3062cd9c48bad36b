package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.SessionState;

/**
 * Decides whether an answer can be the answer to a command. Answers carry no number, so when one is
 * missing the next one arrives in its place: a success of a statement always has the member's
 * signature, and that of any other command never has one.
 */
final class AnswerMatch {
  private AnswerMatch() {}

  static boolean fits(MemberCommand command, Answer answer) {
    if (!answer.isComplete()) {
      return true;
    }
    boolean signed = !answer.text().isEmpty() && !answer.text().equals(Answer.NO_SIGNATURE);
    if (command instanceof MemberCommand.Run || command instanceof MemberCommand.RunPrepared) {
      return signed;
    }
    return !signed && stateFits(command, answer.state()) && rowsFit(command, answer);
  }

  private static boolean stateFits(MemberCommand command, SessionState state) {
    if (command instanceof MemberCommand.BeginTransaction) {
      return state == SessionState.TRANSACTION;
    }
    boolean ends = command instanceof MemberCommand.RollBack;
    return !ends || state == SessionState.IDLE;
  }

  private static boolean rowsFit(MemberCommand command, Answer answer) {
    boolean reports =
        command instanceof MemberCommand.ReportStatus
            || command instanceof MemberCommand.PauseReceiving
            || command instanceof MemberCommand.ResumeReceiving
            || command instanceof MemberCommand.StepDown;
    return reports || answer.rows().isEmpty();
  }
}
