package org.streamcourse.connection.session;

import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.request.quota.QuotaPermit;
import org.streamcourse.request.quota.QuotaRefusal;
import org.streamcourse.request.quota.QuotaRequest;
import org.streamcourse.request.routing.ExecutionListener;
import org.streamcourse.request.routing.StatementContext;
import org.streamcourse.request.routing.StatementExecution;
import org.streamcourse.request.routing.StatementPlan;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * Executes an operation of a session at a member once its tenant's limit admits it. An operation
 * that was not run does not count against the limit.
 */
final class LimitedExecution implements QuotaRequest, ExecutionListener {
  /** Share of a route's target latency that an operation may wait for its tenant's limit. */
  private static final double WAIT_SHARE = 0.5;

  private final SessionNode node;
  private final StatementContext context;
  private final StatementPlan plan;
  private final ExecutionListener listener;
  private QuotaPermit permit = QuotaPermit.UNCOUNTED;
  private Disposable waiting = () -> {};
  private StatementExecution execution;
  private boolean cancelled;

  LimitedExecution(
      SessionNode node, StatementContext context, StatementPlan plan, ExecutionListener listener) {
    this.node = node;
    this.context = context;
    this.plan = plan;
    this.listener = listener;
  }

  void start() {
    TenantRule rule = node.image().document().tenant(context.tenant()).orElse(null);
    if (rule == null) {
      admitted(QuotaPermit.UNCOUNTED);
    } else {
      waiting = node.quotas().admit(rule, this);
    }
  }

  /** Cancels the operation without an answer, since the caller has disconnected. */
  void cancel() {
    cancelled = true;
    waiting.dispose();
    if (execution != null) {
      execution.cancel();
    }
  }

  /** Answers the operation now, because the process is about to exit. */
  void giveUp(String cause) {
    if (execution != null) {
      execution.giveUp(cause);
    } else {
      cancel();
      listener.finished(Answer.refusal(AnswerCode.BUSY, cause, Answer.RETRY_AFTER_MILLIS));
    }
  }

  @Override
  public TenantId tenant() {
    return context.tenant();
  }

  @Override
  public long maxWaitMillis() {
    return Math.round(context.route().targetLatencyMillis() * WAIT_SHARE);
  }

  @Override
  public void admitted(QuotaPermit granted) {
    if (cancelled) {
      granted.giveBack();
      return;
    }
    permit = granted;
    execution =
        new StatementExecution(node.worker(), node.members(), node.log(), context, plan, this);
    execution.start();
  }

  @Override
  public void refused(QuotaRefusal refusal) {
    if (!cancelled) {
      node.log().overLimit(context, refusal.cause());
      listener.finished(
          Answer.refusal(AnswerCode.BUSY, refusal.cause(), refusal.retryAfterMillis()));
    }
  }

  @Override
  public void finished(Answer answer) {
    if (answer.code() == AnswerCode.BUSY) {
      permit.giveBack();
    }
    listener.finished(answer);
  }

  @Override
  public void transactionOpened(MemberLinks links, MemberLink link) {
    listener.transactionOpened(links, link);
  }
}
