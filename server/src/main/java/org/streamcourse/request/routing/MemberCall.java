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
 * Runs one statement, or begins one transaction, on a granted member link, and handles the answer.
 * Records the member's answer time and log position.
 *
 * <p>Invariant: the link is returned to its pool exactly once, unless a transaction was begun on
 * it; then the listener takes over the link.
 *
 * <p>All methods run on the proxy's worker.
 */
final class MemberCall {
  /** State of the call. */
  private enum Phase {
    BEGINNING,
    RUNNING,
    /** The caller no longer needs the answer; the link is returned to its pool once it arrives. */
    ABANDONED,
    DONE
  }

  /** Receives the result of a call, once, unless the call is abandoned or dropped. */
  interface Listener {
    /** Called when a single statement completed. */
    void completed(Answer answer);

    /** Called when a transaction was begun; the listener now owns the link. */
    void opened(MemberLinks links, MemberLink link);

    /**
     * Called when the member answered with an error.
     *
     * @param answer answer of the member
     * @param beginning whether the error answers the begin command of a transaction
     */
    void failed(Answer answer, boolean beginning);

    /**
     * Called when the link ended before the answer arrived.
     *
     * @param cause why the link ended
     * @param unsent whether the caller's statement has certainly not reached the member
     */
    void lost(String cause, boolean unsent);

    /**
     * Called when no slot of the member became free in time; the statement was not sent.
     *
     * @param cause description of the wait
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
   * Creates a call; {@link #send} starts it.
   *
   * @param worker the proxy's worker
   * @param log request log
   * @param context the statement and its session
   * @param plan how the member runs the statement
   * @param members members of the service
   * @param links pool to which the link is returned
   * @param floor lowest log position that the read must observe, or null
   * @param listener receives the result
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
   * @param untilMillis time until which the statement may wait for a slot of the member
   */
  void send(MemberLink granted, long untilMillis) {
    borrowedLink.set(links, granted);
    MemberLink link = granted;
    link.applyValues(context.values());
    boolean begins =
        plan == StatementPlan.PRIMARY_TRANSACTION || plan == StatementPlan.ANY_TRANSACTION;
    phase = begins ? Phase.BEGINNING : Phase.RUNNING;
    switch (plan) {
      case ANY_READ ->
          link.run(
              context.command(link, floor.position()), new SingleStatementListener(), untilMillis);
      case WRITE ->
          link.run(context.command(link, null), new SingleStatementListener(), untilMillis);
      case PRIMARY_READ ->
          link.runGuarded(context.command(link, null), new SingleStatementListener(), untilMillis);
      case PRIMARY_TRANSACTION ->
          link.run(new MemberCommand.BeginTransaction(false, null), new BeginListener());
      case ANY_TRANSACTION ->
          link.run(new MemberCommand.BeginTransaction(true, floor.position()), new BeginListener());
    }
  }

  /** Returns whether an answer is outstanding that the caller needs. */
  boolean awaitsAnswer() {
    return phase == Phase.BEGINNING || phase == Phase.RUNNING;
  }

  /** Returns why the caller's statement has certainly not run, or null when it may have run. */
  String notRunCause() {
    if (phase == Phase.BEGINNING) {
      return "the member did not begin the transaction in time";
    }
    if (borrowedLink.get().mayHaveRun()) {
      return null;
    }
    return borrowedLink.get().isRelayed()
        ? "no holder of member connections responded in time"
        : "the member did not begin the statement in time";
  }

  /** Stops waiting for the answer; the link is returned to its pool once the answer arrives. */
  void abandon() {
    if (awaitsAnswer()) {
      phase = Phase.ABANDONED;
      borrowedLink.get().withdraw();
    }
  }

  /** Ends the call and closes its link, because the answer is outstanding. */
  void drop() {
    if (phase != Phase.DONE) {
      phase = Phase.DONE;
      borrowedLink.close();
    }
  }

  /** Ends the call after the holder refused to grant a connection; nothing was run. */
  void refused() {
    phase = Phase.DONE;
    borrowedLink.releaseEnded();
  }

  /** Handles the answer to a begin command. */
  private final class BeginListener implements CommandListener {
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
        recordPrimary(answer);
        listener.opened(links, borrowedLink.detach());
      } else {
        listener.failed(answer, true);
      }
    }

    @Override
    public void lost(String cause) {
      loseLink(cause, true);
    }
  }

  /** Handles the answer to a read or write. */
  private final class SingleStatementListener implements CommandListener {
    @Override
    public void answered(Answer answer) {
      if (phase == Phase.DONE) {
        return;
      }
      boolean awaited = end();
      recordAnswer(answer);
      if (answer.code() == AnswerCode.UNKNOWN_NAME) {
        // The link lacks a prepared statement that this node had recorded for it.
        borrowedLink.get().close();
      }
      if (answer.isComplete()) {
        recordPrimary(answer);
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

  /** Ends the call; returns whether the caller still needs its answer. */
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
    borrowedLink.releaseEnded();
    if (awaited) {
      listener.lost(cause, unsent);
    }
  }

  private void recordAnswer(Answer answer) {
    long latency = worker.now() - sentMillis;
    log.observer().memberAnswered(latency);
    members.recordAnswer(
        links.member().id(), context.route().database(), latency, answer.position());
  }

  /** Records that the member was primary, when only a primary can complete the statement. */
  private void recordPrimary(Answer answer) {
    if (!plan.needsPrimary()) {
      return;
    }
    members.markPrimary(links.member().id());
    if (answer.position() != null) {
      members.recordPrimaryPosition(
          context, links.member().id(), sentMillis, answer.position(), log);
    }
  }
}
