package org.streamcourse.request.routing;

import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.request.statement.Answer;

/** Receives the result of a statement execution; exactly one of the methods is called, once. */
public interface ExecutionListener {
  /**
   * Called when the statement has its final answer and its link has been returned.
   *
   * @param answer final answer
   */
  void finished(Answer answer);

  /**
   * Called when a transaction was begun at a member; its statements must use this link.
   *
   * @param links pool to which the link must be returned
   * @param link link on which the transaction is open
   */
  void transactionOpened(MemberLinks links, MemberLink link);
}
