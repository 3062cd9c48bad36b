package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;

/**
 * A read within a transaction that only a primary begins, so that a replaced primary can't answer
 * it. The rollback leaves together with the read, since it is right whatever becomes of the read.
 */
final class GuardedRead {
  private final MemberLink link;
  private final MemberCommand read;
  private final CommandListener listener;
  private final long untilMillis;
  private boolean readSent;
  private boolean told;

  /**
   * Creates a read of which nothing is sent yet.
   *
   * @param link link on which it runs
   * @param read the read
   * @param listener hears one end: the answer to the read, or to the beginning when that failed
   * @param untilMillis time until which the read may wait for a slot
   */
  GuardedRead(MemberLink link, MemberCommand read, CommandListener listener, long untilMillis) {
    this.link = link;
    this.read = read;
    this.listener = listener;
    this.untilMillis = untilMillis;
  }

  void begin() {
    link.send(new MemberCommand.BeginTransaction(false, null), new Beginning());
  }

  private void begun(Answer answer) {
    if (!answer.isComplete()) {
      tell(answer);
    } else if (!link.isRelayed()) {
      sendRead();
      link.flush();
    }
  }

  /** Sends the read; through another node it is sent at once, and run there only once begun. */
  void sendRead() {
    readSent = true;
    link.send(read, new Reading(), untilMillis);
    link.rollBackNext();
  }

  /** Whether the read was handed to the link, rather than its beginning alone. */
  boolean isReadSent() {
    return readSent;
  }

  private void tell(Answer answer) {
    if (!told) {
      told = true;
      listener.answered(answer);
    }
  }

  private void tellLost(String cause) {
    if (!told) {
      told = true;
      listener.lost(cause);
    }
  }

  private void tellNotSent(String cause) {
    if (!told) {
      told = true;
      listener.notSent(cause);
    }
  }

  private final class Beginning implements CommandListener {
    @Override
    public void answered(Answer answer) {
      begun(answer);
    }

    @Override
    public void lost(String cause) {
      if (link.isRelayed()) {
        tellLost(cause);
      } else {
        tellNotSent(cause);
      }
    }
  }

  private final class Reading implements CommandListener {
    @Override
    public void answered(Answer answer) {
      tell(answer);
    }

    @Override
    public void lost(String cause) {
      tellLost(cause);
    }

    @Override
    public void notSent(String cause) {
      tellNotSent(cause);
    }
  }
}
