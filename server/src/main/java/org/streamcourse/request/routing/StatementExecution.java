package org.streamcourse.request.routing;

import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.MemberId;
import reactor.core.Disposable;

/**
 * Runs one statement at a member and returns the answer. A read whose answer is late is sent to a
 * second member as well, within the retry budget, and the first successful answer is used. A write,
 * or a statement that only the primary may run, is sent to one member at a time ({@link
 * StatementAttempt}).
 *
 * <p>Invariant: the listener is called once; if both attempts begin a transaction, one transaction
 * is rolled back.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class StatementExecution {
  /**
   * Part of the target latency after which a read's answer always counts as late; the rest is left
   * for the second member.
   */
  private static final double LATE_SHARE = 0.5;

  /**
   * Least time after which an answer is late: a round trip between regions and the member's work.
   */
  private static final long MIN_LATE_MILLIS = 60;

  private final Worker worker;
  private final MemberTable table;
  private final RequestLog log;
  private final StatementContext context;
  private final StatementPlan plan;
  private final ExecutionListener listener;
  private final long startedMillis;
  private final StatementAttempt first;
  private StatementAttempt second;
  private Answer firstFailure;
  private Disposable lateTimer = () -> {};

  /**
   * Creates an execution.
   *
   * @param worker the proxy's worker
   * @param table services and members
   * @param log request log
   * @param context the statement and its session
   * @param plan how a member runs the statement
   * @param listener receives the result
   */
  public StatementExecution(
      Worker worker,
      MemberTable table,
      RequestLog log,
      StatementContext context,
      StatementPlan plan,
      ExecutionListener listener) {
    this.worker = worker;
    this.table = table;
    this.log = log;
    this.context = context;
    this.plan = plan;
    this.listener = listener;
    this.startedMillis = worker.now();
    this.first = newAttempt(true);
  }

  private StatementAttempt newAttempt(boolean isFirst) {
    return new StatementAttempt(
        worker,
        table,
        log,
        context,
        plan,
        new StatementTimes(startedMillis, context.route()),
        new AttemptResult(isFirst));
  }

  /** Starts the first attempt. */
  public void start() {
    ServiceMembers members = table.service(context.route().service());
    if (members != null && !plan.needsPrimary()) {
      members.retryBudget().readStarted();
    }
    first.start();
  }

  /** Ends the execution without an answer, because the caller has disconnected. */
  public void cancel() {
    lateTimer.dispose();
    first.cancel();
    if (second != null) {
      second.cancel();
    }
  }

  /**
   * Answers the statement now, because the process is about to exit.
   *
   * @param cause description for the caller
   */
  public void giveUp(String cause) {
    StatementAttempt other = second;
    first.giveUp(cause);
    if (other != null) {
      other.giveUp(cause);
    }
  }

  // ---- late answers ----

  private void sent(MemberId member) {
    lateTimer.dispose();
    ServiceMembers members = table.service(context.route().service());
    if (second != null || members == null) {
      return;
    }
    long now = worker.now();
    long usualMillis = members.timesOf(member, context.route().database()).lateAfterMillis(now);
    long target = Math.round(context.route().targetLatencyMillis() * LATE_SHARE);
    long after = Math.max(MIN_LATE_MILLIS, Math.min(usualMillis, startedMillis + target - now));
    lateTimer = worker.schedule(after, () -> answerIsLate(member, after));
  }

  private void answerIsLate(MemberId member, long waitedMillis) {
    ServiceMembers members = table.service(context.route().service());
    boolean possible = first.awaitsAnswer() && first.mayTryAnotherMember();
    if (!possible || members == null || !members.hasOther(member)) {
      return;
    }
    boolean allowed = members.retryBudget().tryTake();
    log.late(context, member, waitedMillis, allowed);
    if (allowed) {
      second = newAttempt(false);
      second.leaveOut(member);
      // Two attempts at one member each use up the attempts that the route allows.
      first.stopRetries();
      second.stopRetries();
      second.start();
    }
  }

  // ---- ends ----

  /** Handles the result of one attempt. */
  private final class AttemptResult implements AttemptListener {
    private final boolean isFirst;

    AttemptResult(boolean isFirst) {
      this.isFirst = isFirst;
    }

    @Override
    public void sent(MemberId member) {
      if (isFirst) {
        StatementExecution.this.sent(member);
      }
    }

    @Override
    public void finished(Answer answer) {
      if (!answer.isComplete() && second != null && firstFailure == null) {
        // The other attempt is still running and may succeed.
        firstFailure = answer;
        return;
      }
      lateTimer.dispose();
      abandonOther();
      listener.finished(answer.isComplete() ? answer : failureToReport(answer));
    }

    @Override
    public void transactionOpened(MemberLinks links, MemberLink link) {
      lateTimer.dispose();
      abandonOther();
      listener.transactionOpened(links, link);
    }

    private void abandonOther() {
      StatementAttempt other = isFirst ? second : first;
      if (other != null) {
        other.abandon();
      }
    }
  }

  /**
   * Returns the failure to report; of two failures, the one that does not say that the statement
   * was not run.
   */
  private Answer failureToReport(Answer answer) {
    boolean useFirst = firstFailure != null && answer.code() == AnswerCode.BUSY;
    return useFirst ? firstFailure : answer;
  }
}
