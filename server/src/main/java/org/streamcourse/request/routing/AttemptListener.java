package org.streamcourse.request.routing;

import org.streamcourse.version.image.MemberId;

/** Receives the progress and the result of a {@link StatementAttempt}. */
interface AttemptListener extends ExecutionListener {
  /**
   * Called when a read, or the beginning of a read-only transaction, was sent to a member.
   *
   * @param member the member
   */
  void sent(MemberId member);
}
