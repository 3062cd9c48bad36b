package org.streamcourse.request.routing;

import java.util.Map;
import org.streamcourse.connection.member.HolderListener;
import org.streamcourse.connection.member.LinkRequest;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;
import reactor.core.Disposable;

/**
 * Brings one statement outside a transaction, or the beginning of a transaction, to a member, and
 * to another one where that is safe.
 *
 * <p>What is promised:
 *
 * <ul>
 *   <li>A read at a replica asks for a place that shows all it must have seen; the member refuses
 *       when its log lacks it.
 *   <li>A read at the primary runs within a transaction that only a primary begins and carries on,
 *       so a replaced primary can't answer it.
 *   <li>A write that was sent is not sent again unless the member said that it was not run; without
 *       an answer the outcome is unknown.
 *   <li>Whatever is given up is answered at once.
 * </ul>
 *
 * <p>All methods run on the proxy's worker.
 */
final class StatementAttempt {
  private static final long RETRY_AFTER_MILLIS = 100;

  /** Added to the rank of a read at the primary that a replica could serve: all else goes first. */
  private static final int DIVERTED_RANK = 1_000;

  private final Worker worker;
  private final MemberTable table;
  private final RequestLog log;
  private final StatementContext context;
  private final Listener listener;
  private final StatementTimes times;
  private final ReadSearch search;
  private final ImageUpdateTimer imageUpdateTimer;
  private StatementPlan plan;
  private boolean done;

  /** What a member was asked and has not answered, or null while none is asked. */
  private MemberCall call;

  private ServiceMembers members;
  private MemberLinks links;
  private int attempts;
  private int turn;
  private boolean askedForFloor;
  private boolean diverted;
  private String lastCause = "no member is known";
  private Disposable timeout = () -> {};

  /** Hears of the attempt. */
  interface Listener extends ExecutionListener {
    /**
     * A read, or the beginning of a transaction that only reads, was sent to a member.
     *
     * @param member the member
     */
    void sent(MemberId member);
  }

  /**
   * Creates an attempt.
   *
   * @param worker the proxy's worker
   * @param table members
   * @param log tells what is decided
   * @param context the statement and its session
   * @param plan what is asked of a member
   * @param times how long the statement may take
   * @param listener hears the end
   */
  StatementAttempt(
      Worker worker,
      MemberTable table,
      RequestLog log,
      StatementContext context,
      StatementPlan plan,
      StatementTimes times,
      Listener listener) {
    this.worker = worker;
    this.table = table;
    this.log = log;
    this.context = context;
    this.plan = plan;
    this.listener = listener;
    this.search = new ReadSearch(log, context);
    this.imageUpdateTimer = new ImageUpdateTimer(worker, table, this::attempt);
    this.times = times;
  }

  /** Leaves a member out; to be called before the start. */
  void leaveOut(MemberId member) {
    search.leaveOut(member);
  }

  /** Starts. */
  void start() {
    timeout = worker.schedule(times.remainingMillis(worker.now()), this::timedOut);
    attempt();
  }

  /** Gives up without an answer, since the caller has left. */
  void cancel() {
    if (call != null) {
      call.drop();
    }
    end();
  }

  /** Gives up since another attempt has the answer; a link in use goes back once answered. */
  void abandon() {
    if (call != null) {
      call.abandon();
    }
    imageUpdateTimer.cancel();
    done = true;
  }

  /** Whether the statement may be offered to one more member than now. */
  boolean mayBeOfferedAgain() {
    return attempts + 1 < context.route().attempts();
  }

  /** Lets this be the last member that the attempt offers the statement to. */
  void offerNoFurther() {
    attempts = context.route().attempts();
  }

  /** Whether a member has been asked and owes the answer. */
  boolean awaitsAnswer() {
    return call != null && call.awaitsAnswer();
  }

  private void attempt() {
    if (done) {
      return;
    }
    turn++;
    members = table.service(context.route().service());
    if (members == null) {
      waitForChange("no member of the service is known");
      return;
    }
    if (plan.needsPrimary()) {
      askPrimary();
      return;
    }
    TermPosition floor = context.floor(members.primaryPositions(), worker.now());
    if (floor == null) {
      askForFloor();
    } else {
      askAny(members.floor(floor));
    }
  }

  private void askPrimary() {
    links = members.primary();
    if (links == null) {
      waitForChange("no primary is known");
    } else {
      links.acquire(new Wish(turn, null));
    }
  }

  private void askAny(ReadFloor floor) {
    ReadSearch.Target target = search.next(members, floor, times.longestWaitMillis());
    if (target == null) {
      toPrimary("no other member can serve the read");
      return;
    }
    links = target.links();
    Wish wish = new Wish(turn, target.floor());
    if (target.holdMillis() > 0) {
      worker.schedule(target.holdMillis(), wish::acquire);
    } else {
      wish.acquire();
    }
  }

  /** Waits for the primary's word on where its log stands; without it the primary itself reads. */
  private void askForFloor() {
    if (askedForFloor) {
      toPrimary("no fresh place of the primary is known");
      return;
    }
    askedForFloor = true;
    int askedInTurn = turn;
    members.askPosition(
        context.tenant(),
        () -> {
          if (isWaiting(askedInTurn)) {
            attempt();
          }
        });
  }

  private void toPrimary(String cause) {
    lastCause = cause;
    diverted = true;
    plan =
        plan == StatementPlan.ANY_READ
            ? StatementPlan.PRIMARY_READ
            : StatementPlan.PRIMARY_TRANSACTION;
    attempt();
  }

  /** Waits for another image, or for a short while. */
  private void waitForChange(String cause) {
    lastCause = cause;
    turn++;
    imageUpdateTimer.start();
  }

  private boolean isWaiting(int ofTurn) {
    return !done && call == null && turn == ofTurn;
  }

  private final class Wish implements LinkRequest {
    private final int ofTurn;
    private final ReadFloor floor;
    private final long sinceMillis = worker.now();

    /** Pool that is asked, and rank there: the attempt may go on, and queues are ordered by it. */
    private final MemberLinks pool = links;

    private final int rank = rank();

    Wish(int ofTurn, ReadFloor floor) {
      this.ofTurn = ofTurn;
      this.floor = floor;
    }

    void acquire() {
      if (isWaiting(ofTurn)) {
        links.acquire(this);
      }
    }

    @Override
    public TenantId tenant() {
      return context.tenant();
    }

    @Override
    public int priority() {
      return rank;
    }

    private int rank() {
      boolean atPrimary = diverted || (!plan.needsPrimary() && members.leadsToPrimary(pool));
      boolean spared = atPrimary && members.hasUsableReplica();
      return context.route().priority() + (spared ? DIVERTED_RANK : 0);
    }

    @Override
    public ReadFloor floor() {
      return floor == null ? null : floor.after(worker.now() - sinceMillis);
    }

    @Override
    public void onObservation(MemberObservation observation) {
      pool.state().onObservation(observation);
    }

    @Override
    public void behind(String cause, long retryAfterMillis) {
      log.notRun(context, links.member().id(), AnswerCode.BEHIND, plan, attempts);
      refused(cause, retryAfterMillis);
    }

    @Override
    public boolean needsPrimary() {
      return plan.needsPrimary();
    }

    @Override
    public long maxWaitMillis() {
      return Math.max(1, times.waitsUntilMillis(worker.now()) - worker.now());
    }

    @Override
    public Map<String, String> sessionValues() {
      return context.values();
    }

    @Override
    public HolderListener holderListener() {
      return log.holderListener(context);
    }

    @Override
    public void granted(MemberLink granted) {
      if (!isWaiting(ofTurn)) {
        pool.release(granted);
        return;
      }
      log.observer().waitedForLink(times.waitedMillis(worker.now()));
      call = new MemberCall(worker, log, context, plan, members, links, floor(), new CallEnd());
      call.send(granted, times.waitsUntilMillis(sinceMillis));
      if (!plan.needsPrimary() && awaitsAnswer()) {
        listener.sent(links.member().id());
      }
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      if (turn != ofTurn) {
        return;
      }
      if (call != null) {
        call.refused();
        call = null;
      }
      if (!done) {
        noLink(cause, retryAfterMillis);
      }
    }
  }

  /** The member has no room: a read goes elsewhere, what needs the primary is given up. */
  private void noLink(String cause, long retryAfterMillis) {
    if (plan.needsPrimary() && links.isUsableAsPrimary()) {
      refuse(AnswerCode.BUSY, cause, retryAfterMillis);
    } else {
      lostUnsent(cause);
    }
  }

  /** Hears how a call ended. */
  private final class CallEnd implements MemberCall.Listener {
    @Override
    public void completed(Answer answer) {
      finish(answer.withState(SessionState.IDLE));
    }

    @Override
    public void opened(MemberLinks openedAt, MemberLink opened) {
      end();
      listener.transactionOpened(openedAt, opened);
    }

    @Override
    public void failed(Answer answer, boolean beginning) {
      ReadFloor floor = call.floor();
      call = null;
      if (beginning) {
        notRun(answer, floor);
      } else {
        StatementAttempt.this.failed(answer, floor);
      }
    }

    @Override
    public void lost(String cause, boolean unsent) {
      call = null;
      if (unsent) {
        lostUnsent(cause);
      } else if (plan == StatementPlan.WRITE) {
        refuse(AnswerCode.OUTCOME_UNKNOWN, "the member was lost: " + cause, 0);
      } else {
        lastCause = cause;
        readAgain(AnswerCode.FAILED, "the member was lost: " + cause);
      }
    }

    @Override
    public void noSlot(String cause) {
      call = null;
      noLink(cause, Math.max(RETRY_AFTER_MILLIS, links.estimatedWaitMillis()));
    }
  }

  // ---- failures ----

  /** A member refused; nothing was run. */
  private void notRun(Answer answer, ReadFloor floor) {
    lastCause = answer.code() + " of " + links.member().id();
    log.notRun(context, links.member().id(), answer.code(), plan, attempts);
    switch (answer.code()) {
      case BEHIND -> {
        members.behind(links.member().id(), floor);
        search.wasBehind(links);
        attempt();
      }
      case READ_ONLY -> {
        members.notPrimary(links.member().id());
        waitForChange(lastCause);
      }
      case BUSY -> busy(answer);
      case UNKNOWN_NAME, WRONG_MEMBER, TOO_MANY_CONNECTIONS -> {
        search.leaveOut(links.member().id());
        waitForChange(lastCause);
      }
      default -> finish(answer.withState(SessionState.IDLE));
    }
  }

  /** The queue of the member is full; it drains while the statement may wait for a link. */
  private void busy(Answer answer) {
    search.leaveOut(links.member().id());
    if (!plan.needsPrimary()) {
      attempt();
    } else if (times.waitedMillis(worker.now()) < times.longestWaitMillis()) {
      waitForChange(lastCause);
    } else {
      refuse(AnswerCode.BUSY, "the primary has no room: " + answer.text(), RETRY_AFTER_MILLIS);
    }
  }

  /** A single statement ended with an error. */
  private void failed(Answer answer, ReadFloor floor) {
    switch (answer.code()) {
      case FAILED, TIMEOUT -> {
        if (plan == StatementPlan.WRITE) {
          finish(answer.withState(SessionState.IDLE));
        } else {
          readAgain(answer.code(), answer.text());
        }
      }
      default -> notRun(answer, floor);
    }
  }

  /** A read changed nothing, so it may go to another member, as often as its route allows. */
  private void readAgain(AnswerCode code, String text) {
    attempts++;
    log.notRun(context, links.member().id(), code, plan, attempts);
    search.leaveOut(links.member().id());
    if (attempts < context.route().attempts()) {
      attempt();
    } else {
      refuse(code, text, 0);
    }
  }

  private void lostUnsent(String cause) {
    lastCause = cause;
    search.leaveOut(links.member().id());
    if (plan.needsPrimary()) {
      waitForChange(cause);
    } else {
      attempt();
    }
  }

  private void timedOut() {
    if (done) {
      // Another attempt had the answer.
      cancel();
    } else if (call == null) {
      refuse(AnswerCode.BUSY, lastCause, RETRY_AFTER_MILLIS);
    } else {
      runsTooLong();
    }
  }

  private void runsTooLong() {
    String notSent = call.whyNotSent();
    call.drop();
    if (notSent != null) {
      refuse(AnswerCode.BUSY, notSent, RETRY_AFTER_MILLIS);
      return;
    }
    AnswerCode code = plan == StatementPlan.WRITE ? AnswerCode.OUTCOME_UNKNOWN : AnswerCode.TIMEOUT;
    refuse(code, "the member did not answer in time", 0);
  }

  private void refuse(AnswerCode code, String cause, long retryAfterMillis) {
    log.refused(context, code, cause, plan, times.waitedMillis(worker.now()));
    finish(Answer.refusal(code, cause, retryAfterMillis));
  }

  private void finish(Answer answer) {
    end();
    listener.finished(answer);
  }

  private void end() {
    done = true;
    call = null;
    timeout.dispose();
    imageUpdateTimer.cancel();
  }
}
