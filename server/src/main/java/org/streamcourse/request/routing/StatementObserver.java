package org.streamcourse.request.routing;

import org.streamcourse.request.statement.AnswerCode;

/** Observes the duration of statements and of their stages; called on the proxy's worker. */
public interface StatementObserver {
  /** Ignores all observations. */
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
   * Called when a statement has its final answer.
   *
   * @param code code of the answer
   * @param tookMillis time since the statement arrived
   */
  void answered(AnswerCode code, long tookMillis);

  /**
   * Called when a statement was granted a link to a member.
   *
   * @param waitedMillis time since the statement arrived
   */
  void waitedForLink(long waitedMillis);

  /**
   * Called when a member answered a statement.
   *
   * @param tookMillis time since the statement was sent to the member
   */
  void memberAnswered(long tookMillis);
}
