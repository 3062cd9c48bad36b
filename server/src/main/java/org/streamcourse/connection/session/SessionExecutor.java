package org.streamcourse.connection.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.request.routing.ExecutionListener;
import org.streamcourse.request.routing.StatementContext;
import org.streamcourse.request.routing.StatementPlan;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.KeyDigest;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;
import reactor.core.Disposable;

/**
 * Executes the statements of one session, one after the other, and holds what outlives a statement:
 * values, prepared statements, newest commit positions and transaction.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each statement is answered exactly once, unless the session is closed first.
 *   <li>All statements of a transaction run on one member link, which serves no other session
 *       meanwhile.
 *   <li>All statements of a transaction run under the route by which it was opened.
 *   <li>Each statement runs for the tenant that holds the session's key in the document in force;
 *       without one it does not run, and an open transaction is rolled back.
 *   <li>A transaction is reported as aborted only when the member reported it, when it has written
 *       nothing, or when no commit was sent and the member link was rolled back or closed.
 * </ul>
 *
 * <p>All methods run on the proxy's worker.
 */
final class SessionExecutor {
  static final String STOPPING = "the node is stopping";

  private static final long NEVER = Long.MAX_VALUE;

  private final SessionNode node;
  private final long number;
  private final String database;
  private final KeyDigest key;
  private final Consumer<Answer> listener;
  private final SessionNames names = new SessionNames();

  /** Position of the session's newest commit in the log of each service that it has written to. */
  private final Map<String, TermPosition> lastCommits = new HashMap<>();

  private ClientTransaction transaction;
  private StatementRequest current;
  private StatementContext context;
  private LimitedExecution execution;
  private long currentSinceMillis;
  private Disposable idleTimer = () -> {};
  private long exitMillis = NEVER;
  private boolean closed;

  /**
   * Creates an executor without a statement.
   *
   * @param node services of the node
   * @param number number of the session on this node
   * @param database database name
   * @param key digest of the caller's key
   * @param listener receives the answer to each statement; may execute the next one
   */
  SessionExecutor(
      SessionNode node, long number, String database, KeyDigest key, Consumer<Answer> listener) {
    this.node = node;
    this.number = number;
    this.database = database;
    this.key = key;
    this.listener = listener;
  }

  String database() {
    return database;
  }

  /** Returns whether a statement is running. */
  boolean isRunning() {
    return current != null;
  }

  /** Returns whether a transaction is open, or has failed and was not ended by the caller yet. */
  boolean hasTransaction() {
    return transaction != null;
  }

  /**
   * Refuses statements from now on, because the process exits soon. An open transaction can still
   * be rolled back, and committed if the commit's time-out ends before the exit.
   *
   * @param exitsAtMillis worker time at which the process exits
   */
  void refuseStatements(long exitsAtMillis) {
    exitMillis = exitsAtMillis;
  }

  /** Answers the running statement now, because the process is about to exit. */
  void giveUp() {
    if (execution != null) {
      execution.giveUp(STOPPING);
    } else if (current != null) {
      transaction.giveUp(STOPPING);
    }
  }

  /** Ends the running statement without an answer and rolls back an open transaction. */
  void close() {
    closed = true;
    idleTimer.dispose();
    if (execution != null) {
      execution.cancel();
    }
    if (transaction != null) {
      discardTransaction();
    }
  }

  private RoutingDocument document() {
    return node.image().document();
  }

  // ---- statements ----

  /**
   * Executes a statement; no other statement may be running.
   *
   * @param request the statement
   */
  void execute(StatementRequest request) {
    current = request;
    currentSinceMillis = node.worker().now();
    idleTimer.dispose();
    Statement statement = request.statement();
    if (statement instanceof Statement.Malformed malformed) {
      answerError(AnswerCode.MALFORMED, malformed.why());
    } else if (isFailed() && !endsTransaction(statement)) {
      answerError(
          AnswerCode.MALFORMED, "the transaction has failed; only COMMIT or ROLLBACK is accepted");
    } else if (statement instanceof Statement.Begin begin) {
      begin(begin);
    } else if (statement instanceof Statement.Rollback) {
      rollback();
    } else {
      Answer local = names.run(statement, state());
      if (local != null) {
        answer(local);
      } else {
        runAtMember(request);
      }
    }
  }

  private static boolean endsTransaction(Statement statement) {
    return statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
  }

  private boolean isFailed() {
    return transaction != null && transaction.isFailed();
  }

  /** Returns the state of the session after the newest answer. */
  SessionState state() {
    if (transaction == null) {
      return SessionState.IDLE;
    }
    return transaction.isFailed() ? SessionState.FAILED : SessionState.TRANSACTION;
  }

  private void begin(Statement.Begin begin) {
    if (transaction != null) {
      answerError(AnswerCode.MALFORMED, "a transaction is open already");
      return;
    }
    if (isStopping()) {
      answerRefusal(AnswerCode.BUSY, STOPPING);
      return;
    }
    transaction = new ClientTransaction(node.worker(), begin.readOnly());
    answer(Answer.local(SessionState.TRANSACTION));
  }

  private void rollback() {
    if (transaction == null) {
      answerError(AnswerCode.MALFORMED, "no transaction is open");
      return;
    }
    discardTransaction();
    answer(Answer.local(SessionState.IDLE));
  }

  private void runAtMember(StatementRequest request) {
    PreparedShape shape = null;
    if (request.statement() instanceof Statement.Execute execute) {
      shape = names.prepared(execute.name());
      if (shape == null) {
        answer(SessionNames.unknownName(execute.name(), state()));
        return;
      }
    }
    Optional<RouteRule> route = route();
    if (route.isEmpty() && !node.isConfirmed()) {
      refuseStatement(AnswerCode.BUSY, SessionStart.ROUTES_NOT_CONFIRMED);
      return;
    }
    if (route.isEmpty()) {
      answerError(AnswerCode.UNKNOWN_DATABASE, "the database " + database + " no longer exists");
      return;
    }
    RouteRule rule = route.get();
    if (!SessionStart.mayCheckKeys(node, rule)) {
      refuseStatement(AnswerCode.BUSY, SessionStart.KEYS_NOT_CONFIRMED);
      return;
    }
    Optional<TenantId> tenant = document().callerOf(rule, key);
    if (tenant.isEmpty() || !mayContinue(tenant.get())) {
      refuseStatement(AnswerCode.NOT_ALLOWED, SessionStart.UNKNOWN_KEY);
      return;
    }
    String traceId = request.id() + "@" + number;
    context =
        new StatementContext(
            request,
            rule,
            tenant.get(),
            shape,
            names.values(),
            lastCommits.getOrDefault(rule.service(), TermPosition.ZERO),
            traceId);
    if (isTooLate()) {
      refuseStatement(transaction == null ? AnswerCode.BUSY : AnswerCode.ABORTED, STOPPING);
    } else if (transaction == null) {
      runAlone(context.isCommit());
    } else if (transaction.isFailed()) {
      discardTransaction();
      answerError(AnswerCode.ABORTED, "the transaction had failed and was rolled back");
    } else if (!transaction.isOpen()) {
      openTransaction();
    } else {
      runInTransaction();
    }
  }

  /**
   * Returns the route of the current statement: that of the open transaction, or the one in force.
   */
  private Optional<RouteRule> route() {
    boolean open = transaction != null && transaction.isOpen();
    return open ? Optional.of(transaction.route()) : document().route(database);
  }

  /** Returns whether no transaction is open or the open one was opened for this tenant. */
  private boolean mayContinue(TenantId tenant) {
    return transaction == null || !transaction.isOpen() || transaction.tenant().equals(tenant);
  }

  private boolean isStopping() {
    return exitMillis != NEVER;
  }

  /** Returns whether the process exits too soon for the current statement. */
  private boolean isTooLate() {
    boolean commitsInTime =
        context.isCommit() && node.worker().now() + context.route().timeoutMillis() <= exitMillis;
    return isStopping() && !commitsInTime;
  }

  /** Refuses the current statement without running it, and rolls back an open transaction. */
  private void refuseStatement(AnswerCode code, String reason) {
    node.log().session(number, database, code + ": " + reason);
    if (transaction != null && current.statement() instanceof Statement.Commit) {
      discardTransaction();
    } else if (transaction != null) {
      transaction.fail();
      transaction.releaseLink();
    }
    answerRefusal(code, reason);
  }

  private void runAlone(boolean commit) {
    if (commit) {
      answerError(AnswerCode.MALFORMED, "no transaction is open");
      return;
    }
    boolean primaryOnly = context.route().consistency() == RouteConsistency.PRIMARY;
    StatementPlan plan =
        context.writes()
            ? StatementPlan.WRITE
            : primaryOnly ? StatementPlan.PRIMARY_READ : StatementPlan.ANY_READ;
    execute(plan);
  }

  private void openTransaction() {
    boolean anyMember =
        transaction.isReadOnly() && context.route().consistency() != RouteConsistency.PRIMARY;
    execute(anyMember ? StatementPlan.ANY_TRANSACTION : StatementPlan.PRIMARY_TRANSACTION);
  }

  private void execute(StatementPlan plan) {
    execution = new LimitedExecution(node, context, plan, new Outcome(plan));
    execution.start();
  }

  /** Receives the result of an execution. */
  private final class Outcome implements ExecutionListener {
    private final StatementPlan plan;

    Outcome(StatementPlan plan) {
      this.plan = plan;
    }

    @Override
    public void finished(Answer answer) {
      execution = null;
      if (answer.isComplete() && plan == StatementPlan.WRITE && answer.position() != null) {
        recordCommit(answer.position());
      }
      if (transaction != null) {
        // The transaction could not be opened; none of its statements has run.
        transaction.fail();
      }
      answer(answer.withState(state()));
    }

    @Override
    public void transactionOpened(MemberLinks links, MemberLink link) {
      execution = null;
      transaction.opened(context, links, link);
      runInTransaction();
    }
  }

  // ---- transactions ----

  private void runInTransaction() {
    transaction.run(context, new TransactionOutcome(context.isCommit()));
  }

  /** Receives the result of a statement within the transaction. */
  private final class TransactionOutcome implements ClientTransaction.Listener {
    private final boolean commit;

    TransactionOutcome(boolean commit) {
      this.commit = commit;
    }

    @Override
    public void answered(Answer answer, long sentMillis) {
      if (commit) {
        committed(answer, sentMillis);
      } else if (answer.isComplete()) {
        answer(answer.withState(SessionState.TRANSACTION));
      } else {
        transaction.fail();
        answer(answer.withState(SessionState.FAILED));
      }
    }

    @Override
    public void lost(String reason, boolean mayHaveRun) {
      if (commit) {
        commitUnanswered(reason, mayHaveRun);
      } else {
        transaction.fail();
        answerRefusal(AnswerCode.ABORTED, reason);
      }
    }
  }

  private void committed(Answer answer, long sentMillis) {
    ClientTransaction done = transaction;
    transaction = null;
    boolean wrote = done.hasWritten();
    if (answer.isComplete() && wrote && answer.position() != null) {
      recordCommit(answer.position());
      node.members()
          .recordCommit(context, done.member(), sentMillis, answer.position(), node.log());
    }
    done.releaseLink();
    answer(answer.withState(SessionState.IDLE));
  }

  private void recordCommit(TermPosition position) {
    lastCommits.merge(context.route().service(), position, TermPosition::max);
  }

  /** A transaction without writes has changed nothing, whether or not its commit ran. */
  private void commitUnanswered(String reason, boolean mayHaveRun) {
    boolean inDoubt = mayHaveRun && transaction.hasWritten();
    transaction = null;
    if (inDoubt) {
      answerError(AnswerCode.OUTCOME_UNKNOWN, reason);
    } else {
      answerRefusal(AnswerCode.ABORTED, reason);
    }
  }

  /**
   * Rolls back a transaction after its idle time-out; the caller's next statement gets an error.
   */
  private void idleTimedOut() {
    if (transaction != null && current == null) {
      failTransaction("idle time-out");
    }
  }

  private void failTransaction(String reason) {
    node.log().session(number, database, "transaction ended: " + reason);
    transaction.fail();
    transaction.releaseLink();
  }

  private void discardTransaction() {
    ClientTransaction dropped = transaction;
    transaction = null;
    dropped.releaseLink();
  }

  // ---- answers ----

  private void answerError(AnswerCode code, String reason) {
    answer(Answer.error(code, reason, state()));
  }

  /** Answers that nothing is kept, during a stop with the time after which to retry elsewhere. */
  private void answerRefusal(AnswerCode code, String reason) {
    long retryAfterMillis = isStopping() ? Answer.RETRY_AFTER_MILLIS : 0;
    answer(Answer.refusal(code, reason, retryAfterMillis).withState(state()));
  }

  private void answer(Answer answer) {
    if (closed) {
      return;
    }
    idleTimer.dispose();
    if (context != null && context.request() == current) {
      node.log().answered(context, answer, node.worker().now() - currentSinceMillis);
    }
    current = null;
    if (transaction != null && !transaction.isFailed()) {
      long idleMillis = document().limits().transactionIdleMillis();
      idleTimer = node.worker().schedule(idleMillis, this::idleTimedOut);
    }
    listener.accept(answer);
  }
}
