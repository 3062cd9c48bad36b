package org.streamcourse.request.routing;

import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.MemberId;
import reactor.core.Disposable;

/**
 * Brings one statement to a member and its answer back. A read whose answer is late is brought to a
 * second member as well, within a budget, and the first answer that completes counts. Whatever
 * writes, or may be run by the primary only, is brought to one member at a time ({@link
 * StatementAttempt}).
 *
 * <p>Invariant: the listener hears one end; of two transactions that were begun one is rolled back.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class StatementExecution {
  /**
   * Part of the target latency after which a read's answer is late at the latest: the other half is
   * left for the second member.
   */
  private static final double LATE_SHARE = 0.5;

  /** Least time after which an answer is late: a way between regions and back, and some work. */
  private static final long LEAST_LATE_MILLIS = 60;

  private final Worker worker;
  private final MemberTable table;
  private final RequestLog log;
  private final StatementContext context;
  private final StatementPlan plan;
  private final ExecutionListener listener;
  private final long startedMillis;
  private final StatementAttempt first;
  private StatementAttempt second;
  private Answer failure;
  private Disposable late = () -> {};

  /**
   * Creates an execution.
   *
   * @param worker the proxy's worker
   * @param table members
   * @param log tells what is decided
   * @param context the statement and its session
   * @param plan what is asked of a member
   * @param listener hears the end
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

  private StatementAttempt newAttempt(boolean mayBeRepeated) {
    return new StatementAttempt(
        worker,
        table,
        log,
        context,
        plan,
        new StatementTimes(startedMillis, context.route()),
        new AttemptEnd(mayBeRepeated));
  }

  /** Starts. */
  public void start() {
    ServiceMembers members = table.service(context.route().service());
    if (members != null && !plan.needsPrimary()) {
      members.readRetries().readStarted();
    }
    first.start();
  }

  /** Gives up without an answer, since the caller has left. */
  public void cancel() {
    late.dispose();
    first.cancel();
    if (second != null) {
      second.cancel();
    }
  }

  // ---- late answers ----

  private void sent(MemberId member) {
    late.dispose();
    ServiceMembers members = table.service(context.route().service());
    if (second != null || members == null) {
      return;
    }
    long now = worker.now();
    long usual = members.timesOf(member, context.route().database()).lateAfterMillis(now);
    long target = Math.round(context.route().targetLatencyMillis() * LATE_SHARE);
    long after = Math.max(LEAST_LATE_MILLIS, Math.min(usual, startedMillis + target - now));
    late = worker.schedule(after, () -> answerIsLate(member, after));
  }

  private void answerIsLate(MemberId member, long waitedMillis) {
    ServiceMembers members = table.service(context.route().service());
    boolean possible = first.awaitsAnswer() && first.mayBeOfferedAgain();
    if (!possible || members == null || !members.hasOther(member)) {
      return;
    }
    boolean allowed = members.readRetries().take();
    log.late(context, member, waitedMillis, allowed);
    if (allowed) {
      second = newAttempt(false);
      second.leaveOut(member);
      // Together they offer it to as many members as the route allows.
      first.offerNoFurther();
      second.offerNoFurther();
      second.start();
    }
  }

  // ---- ends ----

  /** Hears the end of one attempt. */
  private final class AttemptEnd implements StatementAttempt.Listener {
    private final boolean mayBeRepeated;

    AttemptEnd(boolean mayBeRepeated) {
      this.mayBeRepeated = mayBeRepeated;
    }

    @Override
    public void sent(MemberId member) {
      if (mayBeRepeated) {
        StatementExecution.this.sent(member);
      }
    }

    @Override
    public void finished(Answer answer) {
      if (!answer.isComplete() && second != null && failure == null) {
        // The other attempt still runs, and may end better.
        failure = answer;
        return;
      }
      late.dispose();
      abandonOther();
      listener.finished(answer.isComplete() ? answer : worse(answer));
    }

    @Override
    public void transactionOpened(MemberLinks links, MemberLink link) {
      late.dispose();
      abandonOther();
      listener.transactionOpened(links, link);
    }

    private void abandonOther() {
      StatementAttempt other = mayBeRepeated ? second : first;
      if (other != null) {
        other.abandon();
      }
    }
  }

  /** Of two failures the one that does not promise that the statement has not run. */
  private Answer worse(Answer answer) {
    boolean othersCounts = failure != null && answer.code() == AnswerCode.BUSY;
    return othersCounts ? failure : answer;
  }
}
