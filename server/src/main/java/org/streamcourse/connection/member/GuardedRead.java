package org.streamcourse.connection.member;

import org.streamcourse.request.statement.Answer;

/**
 * A read that runs in a read-write transaction. Only a primary accepts the beginning of such a
 * transaction, so a replaced primary can't answer the read. The rollback is sent together with the
 * read, since the transaction is rolled back whatever the result of the read is.
 */
final class GuardedRead {
  private final MemberLink link;
  private final MemberCommand read;
  private final CommandListener listener;
  private final long untilMillis;
  private boolean readSent;
  private boolean notified;

  /**
   * Creates a guarded read; {@link #begin} sends its first command.
   *
   * @param link link on which the read runs
   * @param read the read
   * @param listener is notified once: of the read's answer, or of the failure to begin the
   *     transaction
   * @param untilMillis worker time until which the read may wait for a slot
   */
  GuardedRead(MemberLink link, MemberCommand read, CommandListener listener, long untilMillis) {
    this.link = link;
    this.read = read;
    this.listener = listener;
    this.untilMillis = untilMillis;
  }

  void begin() {
    link.send(new MemberCommand.BeginTransaction(false, null), new BeginListener());
  }

  private void onBegun(Answer answer) {
    if (!answer.isComplete()) {
      notifyAnswered(answer);
    } else if (!link.isRelayed()) {
      sendRead();
      link.flush();
    }
  }

  /** Sends the read; a relayed link sends it at once, and the holder runs it once begun. */
  void sendRead() {
    readSent = true;
    link.send(read, new ReadListener(), untilMillis);
    link.rollBackNext();
  }

  /** Returns whether the read was handed to the link, not only its transaction's beginning. */
  boolean isReadSent() {
    return readSent;
  }

  private void notifyAnswered(Answer answer) {
    if (!notified) {
      notified = true;
      listener.answered(answer);
    }
  }

  private void notifyLost(String cause) {
    if (!notified) {
      notified = true;
      listener.lost(cause);
    }
  }

  private void notifyNotSent(String cause) {
    if (!notified) {
      notified = true;
      listener.notSent(cause);
    }
  }

  private final class BeginListener implements CommandListener {
    @Override
    public void answered(Answer answer) {
      onBegun(answer);
    }

    @Override
    public void lost(String cause) {
      if (link.isRelayed()) {
        notifyLost(cause);
      } else {
        notifyNotSent(cause);
      }
    }
  }

  private final class ReadListener implements CommandListener {
    @Override
    public void answered(Answer answer) {
      notifyAnswered(answer);
    }

    @Override
    public void lost(String cause) {
      notifyLost(cause);
    }

    @Override
    public void notSent(String cause) {
      notifyNotSent(cause);
    }
  }
}
