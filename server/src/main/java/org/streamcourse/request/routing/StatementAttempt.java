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
 * Sends one statement outside a transaction, or the beginning of a transaction, to a member, and
 * retries it at another member where that is safe.
 *
 * <p>Guarantees:
 *
 * <ul>
 *   <li>A read at a replica carries a floor, the lowest log position that it must observe; the
 *       member refuses the read when its log has not reached the floor.
 *   <li>A read at the primary runs within a transaction that only a primary begins and continues,
 *       so a replaced primary cannot answer it.
 *   <li>A write that was sent is not sent again unless the member answered that it was not run;
 *       without an answer the outcome is unknown.
 *   <li>A statement that is abandoned is answered at once.
 * </ul>
 *
 * <p>All methods run on the proxy's worker.
 */
final class StatementAttempt {
  /** Rank added to reads at the primary that a replica could serve; others get links first. */
  private static final int DIVERTED_RANK = 1_000;

  private final Worker worker;
  private final MemberTable table;
  private final RequestLog log;
  private final StatementContext context;
  private final AttemptListener listener;
  private final StatementTimes times;
  private final ReadSearch search;
  private final ImageUpdateTimer imageUpdateTimer;
  private StatementPlan plan;
  private boolean done;

  /** The call whose answer is outstanding, or null. */
  private MemberCall call;

  private ServiceMembers members;
  private MemberLinks links;
  private int attempts;
  private int waitNumber;
  private boolean floorProbed;
  private boolean diverted;
  private String lastCause = "no member is known";
  private Disposable timeout = () -> {};

  /**
   * Creates an attempt.
   *
   * @param worker the proxy's worker
   * @param table services and members
   * @param log request log
   * @param context the statement and its session
   * @param plan how a member runs the statement
   * @param times time limits of the statement
   * @param listener receives the result
   */
  StatementAttempt(
      Worker worker,
      MemberTable table,
      RequestLog log,
      StatementContext context,
      StatementPlan plan,
      StatementTimes times,
      AttemptListener listener) {
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

  /** Excludes a member; must be called before {@link #start}. */
  void leaveOut(MemberId member) {
    search.leaveOut(member);
  }

  void start() {
    timeout = worker.schedule(times.remainingMillis(worker.now()), this::timedOut);
    attempt();
  }

  /** Ends the attempt without an answer, because the caller has disconnected. */
  void cancel() {
    if (call != null) {
      call.drop();
    }
    end();
  }

  /** Ends the attempt, as another one has the answer; the link is returned once answered. */
  void abandon() {
    if (call != null) {
      call.abandon();
    }
    imageUpdateTimer.cancel();
    done = true;
  }

  /** Returns whether the route allows the statement at one more member. */
  boolean mayTryAnotherMember() {
    return attempts + 1 < context.route().attempts();
  }

  /** Prevents further retries at other members. */
  void stopRetries() {
    attempts = context.route().attempts();
  }

  /** Returns whether a member's answer is outstanding. */
  boolean awaitsAnswer() {
    return call != null && call.awaitsAnswer();
  }

  private void attempt() {
    if (done) {
      return;
    }
    waitNumber++;
    members = table.service(context.route().service());
    if (members == null) {
      waitForChange("no member of the service is known");
      return;
    }
    if (plan.needsPrimary()) {
      requestPrimary();
      return;
    }
    TermPosition floor = context.floor(members.primaryPositions(), worker.now());
    if (floor == null) {
      probeFloor();
    } else {
      requestAnyMember(members.floor(floor));
    }
  }

  private void requestPrimary() {
    links = members.primary();
    if (links == null) {
      waitForChange("no primary is known");
    } else {
      links.acquire(new LinkWait(waitNumber, null));
    }
  }

  private void requestAnyMember(ReadFloor floor) {
    ReadSearch.Target target = search.next(members, floor, times.longestWaitMillis());
    if (target == null) {
      divertToPrimary("no other member can serve the read");
      return;
    }
    links = target.links();
    LinkWait linkWait = new LinkWait(waitNumber, target.floor());
    if (target.delayMillis() > 0) {
      worker.schedule(target.delayMillis(), linkWait::acquire);
    } else {
      linkWait.acquire();
    }
  }

  /** Probes the primary's log position, once; without a position the read goes to the primary. */
  private void probeFloor() {
    if (floorProbed) {
      divertToPrimary("no recent log position of the primary is known");
      return;
    }
    floorProbed = true;
    int probedInWait = waitNumber;
    members.probePrimaryPosition(
        context.tenant(),
        () -> {
          if (isWaiting(probedInWait)) {
            attempt();
          }
        });
  }

  private void divertToPrimary(String cause) {
    lastCause = cause;
    diverted = true;
    plan =
        plan == StatementPlan.ANY_READ
            ? StatementPlan.PRIMARY_READ
            : StatementPlan.PRIMARY_TRANSACTION;
    attempt();
  }

  /** Attempts again at the next change of the image, or after a short delay. */
  private void waitForChange(String cause) {
    lastCause = cause;
    waitNumber++;
    imageUpdateTimer.start();
  }

  /** Returns whether a wait is the current one; callbacks of earlier waits are ignored. */
  private boolean isWaiting(int ofWait) {
    return !done && call == null && waitNumber == ofWait;
  }

  private final class LinkWait implements LinkRequest {
    private final int ofWait;
    private final ReadFloor floor;
    private final long sinceMillis = worker.now();

    /** Pool of the link, and rank in its queue; both stay fixed when the attempt moves on. */
    private final MemberLinks pool = links;

    private final int rank = rank();

    LinkWait(int ofWait, ReadFloor floor) {
      this.ofWait = ofWait;
      this.floor = floor;
    }

    void acquire() {
      if (isWaiting(ofWait)) {
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
      boolean atPrimary = diverted || (!plan.needsPrimary() && members.isOfPrimary(pool));
      boolean yields = atPrimary && members.hasUsableReplica();
      return context.route().priority() + (yields ? DIVERTED_RANK : 0);
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
      if (!isWaiting(ofWait)) {
        pool.release(granted);
        return;
      }
      log.observer().waitedForLink(times.waitedMillis(worker.now()));
      call = new MemberCall(worker, log, context, plan, members, links, floor(), new CallResult());
      call.send(granted, times.waitsUntilMillis(sinceMillis));
      if (!plan.needsPrimary() && awaitsAnswer()) {
        listener.sent(links.member().id());
      }
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      if (waitNumber != ofWait) {
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

  /** Sends a read without link or slot to another member; refuses what needs the primary. */
  private void noLink(String cause, long retryAfterMillis) {
    if (plan.needsPrimary() && links.isUsableAsPrimary()) {
      refuse(AnswerCode.BUSY, cause, retryAfterMillis);
    } else {
      retryUnsent(cause);
    }
  }

  /** Handles the result of a call. */
  private final class CallResult implements MemberCall.Listener {
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
        retryUnsent(cause);
      } else if (plan == StatementPlan.WRITE) {
        refuse(AnswerCode.OUTCOME_UNKNOWN, "the member was lost: " + cause, 0);
      } else {
        lastCause = cause;
        retryRead(AnswerCode.FAILED, "the member was lost: " + cause);
      }
    }

    @Override
    public void noSlot(String cause) {
      call = null;
      noLink(cause, Math.max(Answer.RETRY_AFTER_MILLIS, links.estimatedWaitMillis()));
    }
  }

  // ---- failures ----

  /** Handles a refusal by a member; nothing was run. */
  private void notRun(Answer answer, ReadFloor floor) {
    lastCause = answer.code() + " from " + links.member().id();
    log.notRun(context, links.member().id(), answer.code(), plan, attempts);
    switch (answer.code()) {
      case BEHIND -> {
        members.recordBehind(links.member().id(), floor);
        search.recordBehind(links);
        attempt();
      }
      case READ_ONLY -> {
        members.markNotPrimary(links.member().id());
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

  /** Handles a full queue of the member, which may drain before the longest wait for a link. */
  private void busy(Answer answer) {
    search.leaveOut(links.member().id());
    if (!plan.needsPrimary()) {
      attempt();
    } else if (times.waitedMillis(worker.now()) < times.longestWaitMillis()) {
      waitForChange(lastCause);
    } else {
      refuse(AnswerCode.BUSY, "the primary is busy: " + answer.text(), Answer.RETRY_AFTER_MILLIS);
    }
  }

  /** Handles an error answer to a single statement. */
  private void failed(Answer answer, ReadFloor floor) {
    switch (answer.code()) {
      case FAILED, TIMEOUT -> {
        if (plan == StatementPlan.WRITE) {
          finish(answer.withState(SessionState.IDLE));
        } else {
          retryRead(answer.code(), answer.text());
        }
      }
      default -> notRun(answer, floor);
    }
  }

  /** Sends a read to another member, as often as its route allows; a read changes nothing. */
  private void retryRead(AnswerCode code, String text) {
    attempts++;
    log.notRun(context, links.member().id(), code, plan, attempts);
    search.leaveOut(links.member().id());
    if (attempts < context.route().attempts()) {
      attempt();
    } else {
      refuse(code, text, 0);
    }
  }

  private void retryUnsent(String cause) {
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
      // Another attempt has already delivered the answer.
      cancel();
    } else {
      String notRunCause = call == null ? lastCause : call.notRunCause();
      endUnanswered(notRunCause, "the member did not answer in time", 0);
    }
  }

  /** Ends the attempt with an answer now, because the process is about to exit. */
  void giveUp(String cause) {
    if (!done) {
      boolean notRun = call == null || call.notRunCause() != null;
      endUnanswered(notRun ? cause : null, cause, Answer.RETRY_AFTER_MILLIS);
    }
  }

  /** Ends the attempt; {@code notRunCause} is null when a member may have run the statement. */
  private void endUnanswered(String notRunCause, String cause, long readRetryAfterMillis) {
    if (call != null) {
      call.drop();
    }
    if (notRunCause != null) {
      refuse(AnswerCode.BUSY, notRunCause, Answer.RETRY_AFTER_MILLIS);
    } else if (plan == StatementPlan.WRITE) {
      refuse(AnswerCode.OUTCOME_UNKNOWN, cause, 0);
    } else {
      refuse(AnswerCode.TIMEOUT, cause, readRetryAfterMillis);
    }
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
