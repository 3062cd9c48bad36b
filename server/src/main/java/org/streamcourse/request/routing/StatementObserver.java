package org.streamcourse.request.routing;

import org.streamcourse.request.statement.AnswerCode;

/** Hears how long statements and their stages took; called on the proxy's worker. */
public interface StatementObserver {
  /** Hears nothing. */
  StatementObserver NONE =
      new StatementObserver() {
        @Override
        public void answered(AnswerCode code, long tookMillis) {}

        @Override
        public void waitedForLink(long waitedMillis) {}

        @Override
        public void memberAnswered(long tookMillis) {}
      };

  /**
   * A statement got its final answer.
   *
   * @param code how it ended
   * @param tookMillis time since it came
   */
  void answered(AnswerCode code, long tookMillis);

  /**
   * A statement got a link to a member.
   *
   * @param waitedMillis time since it came
   */
  void waitedForLink(long waitedMillis);

  /**
   * A member answered a statement.
   *
   * @param tookMillis time since it was sent there
   */
  void memberAnswered(long tookMillis);
}
