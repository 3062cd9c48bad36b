package org.streamcourse.connection.member;

/**
 * Longest time for which a reachable member may leave a command unanswered before the connection
 * counts as silent. A connection may go silent without a reset while new ones work, so neither its
 * being open nor a new connection shows that an answer will come.
 */
final class AnswerLimits {
  /** Limit of commands that take no slot: the member answers them without waiting or working. */
  static final long AT_ONCE_MILLIS = 1_000;

  /** Limit of the introduction, which waits for one of the member's slots. */
  static final long OPENING_MILLIS = 3_000;

  /** Time without an answer after which a link that is given up makes idle links suspect. */
  static final long SUSPECT_MILLIS = 500;

  /** No limit here: the member may work for as long as the statement's own timeout permits. */
  static final long NONE = Long.MAX_VALUE;

  private AnswerLimits() {}

  static long of(MemberCommand command) {
    if (command instanceof MemberCommand.Introduce) {
      return OPENING_MILLIS;
    }
    return MemberSlots.needsSlot(command) ? NONE : AT_ONCE_MILLIS;
  }
}
