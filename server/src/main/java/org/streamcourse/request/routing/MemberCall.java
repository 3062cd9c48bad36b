package org.streamcourse.request.routing;

import org.streamcourse.connection.member.CommandListener;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;

/**
 * One statement, or the beginning of a transaction, on one link that was granted, up to its answer.
 * It notes how fast the member answered and where its log stood.
 *
 * <p>Invariant: the link goes back to its pool once, except that of a transaction that was begun.
 *
 * <p>All methods run on the proxy's worker.
 */
final class MemberCall {
  /** Where the call stands. */
  private enum Phase {
    BEGINNING,
    RUNNING,
    /** Nobody waits for the answer; it is awaited so that the link can be kept. */
    ABANDONED,
    DONE
  }

  /** Hears the end of a call, once, unless it is abandoned or dropped. */
  interface Listener {
    /** A single statement completed. */
    void completed(Answer answer);

    /** A transaction was begun; its statements go on the link, which is the listener's now. */
    void opened(MemberLinks links, MemberLink link);

    /**
     * The member answered with an error.
     *
     * @param answer its answer
     * @param beginning whether only the beginning of a transaction was asked
     */
    void failed(Answer answer, boolean beginning);

    /**
     * The link is gone, and with it the answer.
     *
     * @param cause what happened
     * @param unsent whether the caller's statement has certainly not reached the member
     */
    void lost(String cause, boolean unsent);

    /**
     * The member had no slot for the statement in time, so it was not sent.
     *
     * @param cause what happened
     */
    void noSlot(String cause);
  }

  private final Worker worker;
  private final RequestLog log;
  private final StatementContext context;
  private final StatementPlan plan;
  private final ServiceMembers members;
  private final MemberLinks links;
  private final Listener listener;
  private final ReadFloor floor;
  private final BorrowedLink borrowedLink = new BorrowedLink();
  private final long sentMillis;
  private Phase phase = Phase.DONE;

  /**
   * Creates a call that is not sent yet.
   *
   * @param worker the proxy's worker
   * @param log tells what is decided
   * @param context the statement and its session
   * @param plan what is asked of the member
   * @param members members of the service
   * @param links pool to which the link goes back
   * @param floor what the member's log must have, or null
   * @param listener hears the end
   */
  MemberCall(
      Worker worker,
      RequestLog log,
      StatementContext context,
      StatementPlan plan,
      ServiceMembers members,
      MemberLinks links,
      ReadFloor floor,
      Listener listener) {
    this.worker = worker;
    this.log = log;
    this.context = context;
    this.plan = plan;
    this.members = members;
    this.links = links;
    this.floor = floor;
    this.listener = listener;
    this.sentMillis = worker.now();
  }

  ReadFloor floor() {
    return floor;
  }

  /**
   * Sends the statement over a link.
   *
   * @param granted the link
   * @param untilMillis time until which it may wait for one of the member's slots
   */
  void send(MemberLink granted, long untilMillis) {
    borrowedLink.hold(links, granted);
    MemberLink link = granted;
    link.applyValues(context.values());
    boolean begins =
        plan == StatementPlan.PRIMARY_TRANSACTION || plan == StatementPlan.ANY_TRANSACTION;
    phase = begins ? Phase.BEGINNING : Phase.RUNNING;
    switch (plan) {
      case ANY_READ ->
          link.run(context.command(link, floor.position()), new SingleAnswer(), untilMillis);
      case WRITE -> link.run(context.command(link, null), new SingleAnswer(), untilMillis);
      case PRIMARY_READ ->
          link.runGuarded(context.command(link, null), new SingleAnswer(), untilMillis);
      case PRIMARY_TRANSACTION ->
          link.run(new MemberCommand.BeginTransaction(false, null), new Begun());
      case ANY_TRANSACTION ->
          link.run(new MemberCommand.BeginTransaction(true, floor.position()), new Begun());
    }
  }

  /** Whether the member owes an answer that somebody waits for. */
  boolean awaitsAnswer() {
    return phase == Phase.BEGINNING || phase == Phase.RUNNING;
  }

  /** Why the caller's statement has certainly not run, or null when it may have. */
  String whyNotSent() {
    if (phase == Phase.BEGINNING) {
      return "the member did not begin in time";
    }
    if (borrowedLink.get().mayHaveRun()) {
      return null;
    }
    return borrowedLink.get().isRelayed()
        ? "no holder of connections spoke in time"
        : "the member did not begin in time";
  }

  /** Nobody waits for the answer any more; the link goes back once it has come. */
  void abandon() {
    if (awaitsAnswer()) {
      phase = Phase.ABANDONED;
      borrowedLink.get().withdraw();
    }
  }

  /** Closes the link, on which an answer is outstanding. */
  void drop() {
    if (phase != Phase.DONE) {
      phase = Phase.DONE;
      borrowedLink.drop();
    }
  }

  /** A holder of connections gave none for the link, so nothing was run. */
  void refused() {
    phase = Phase.DONE;
    borrowedLink.forget();
  }

  /** Hears whether a transaction was begun. */
  private final class Begun implements CommandListener {
    @Override
    public void answered(Answer answer) {
      if (phase == Phase.DONE) {
        return;
      }
      boolean awaited = end();
      if (!awaited || !answer.isComplete()) {
        borrowedLink.release();
      }
      if (!awaited) {
        return;
      }
      if (answer.isComplete()) {
        notePrimary(answer);
        listener.opened(links, borrowedLink.take());
      } else {
        listener.failed(answer, true);
      }
    }

    @Override
    public void lost(String cause) {
      loseLink(cause, true);
    }
  }

  /** Hears the answer of a read or write. */
  private final class SingleAnswer implements CommandListener {
    @Override
    public void answered(Answer answer) {
      if (phase == Phase.DONE) {
        return;
      }
      boolean awaited = end();
      noteAnswer(answer);
      if (answer.code() == AnswerCode.UNKNOWN_NAME) {
        // What this node believes to be prepared there is not.
        borrowedLink.get().close();
      }
      if (answer.isComplete()) {
        notePrimary(answer);
      }
      borrowedLink.release();
      if (awaited && answer.isComplete()) {
        listener.completed(answer);
      } else if (awaited) {
        listener.failed(answer, false);
      }
    }

    @Override
    public void lost(String cause) {
      loseLink(cause, false);
    }

    @Override
    public void notSent(String cause) {
      if (phase == Phase.DONE || !borrowedLink.get().isOpen()) {
        loseLink(cause, true);
        return;
      }
      boolean awaited = end();
      borrowedLink.release();
      if (awaited) {
        listener.noSlot(cause);
      }
    }
  }

  /** Ends the call; returns whether somebody waits for its answer. */
  private boolean end() {
    boolean awaited = awaitsAnswer();
    phase = Phase.DONE;
    return awaited;
  }

  private void loseLink(String cause, boolean unsent) {
    if (phase == Phase.DONE) {
      return;
    }
    boolean awaited = end();
    borrowedLink.forget();
    if (awaited) {
      listener.lost(cause, unsent);
    }
  }

  private void noteAnswer(Answer answer) {
    long latency = worker.now() - sentMillis;
    log.observer().memberAnswered(latency);
    members.answered(links.member().id(), context.route().database(), latency, answer.position());
  }

  /** A statement that only a primary completes shows that the member was primary. */
  private void notePrimary(Answer answer) {
    if (!plan.needsPrimary()) {
      return;
    }
    members.isPrimary(links.member().id());
    if (answer.position() != null) {
      members.primaryAt(sentMillis, answer.position());
    }
  }
}
