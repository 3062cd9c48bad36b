package org.streamcourse.connection.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
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
 * The session of one caller: its values, prepared statements, newest commit position and
 * transaction. Statements are executed one after the other.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each statement gets exactly one answer, and no answer is sent without a statement.
 *   <li>All statements of a transaction run on one member link, which serves no other session
 *       meanwhile.
 *   <li>Each statement runs for the tenant that holds the session's key in the document in force;
 *       without one it does not run, and an open transaction is rolled back.
 *   <li>A transaction is reported as aborted only when the member reported it, when it has written
 *       nothing, or when no commit was sent and the member link was rolled back or closed.
 * </ul>
 *
 * <p>All methods run on the proxy's worker.
 */
public final class ClientSession {
  private static final int MAX_QUEUED_STATEMENTS = 64;
  private static final String TOO_MANY_NAMES =
      "a session can have at most " + SessionNames.MAX_NAMES + " names";
  private static final String NO_PREPARED_STATEMENT = "no prepared statement ";

  private final SessionNode node;
  private final ClientChannel channel;
  private final long number;
  private final Deque<StatementRequest> queued = new ArrayDeque<>();
  private final SessionNames names = new SessionNames();
  private final SessionStart start;
  private TermPosition lastCommit = TermPosition.ZERO;
  private String database;
  private KeyDigest key;
  private ClientTransaction transaction;
  private StatementRequest current;
  private StatementContext context;
  private LimitedExecution execution;
  private long currentSinceMillis;
  private Disposable timer = () -> {};
  private boolean draining;
  private boolean ended;

  /**
   * Creates a session that has not started.
   *
   * @param node services of the node
   * @param channel connection of the caller
   * @param number number of the session on this node
   */
  public ClientSession(SessionNode node, ClientChannel channel, long number) {
    this.node = node;
    this.channel = channel;
    this.number = number;
    this.start = new SessionStart(node, new StartResult());
  }

  // ---- messages from the caller ----

  /**
   * Handles a message.
   *
   * @param message received message
   */
  public void receive(ClientMessage message) {
    if (ended) {
      return;
    }
    if (message instanceof ClientMessage.Start request) {
      start(request);
    } else if (message instanceof ClientMessage.Query query) {
      query(query.request());
    } else if (message instanceof ClientMessage.Unreadable unreadable) {
      refuse(unreadable.code(), unreadable.reason());
    } else {
      end();
    }
  }

  private void start(ClientMessage.Start message) {
    if (database != null) {
      refuse(AnswerCode.MALFORMED, "the session has started already");
    } else {
      start.start(message);
    }
  }

  /** Receives the result of the session's start. */
  private final class StartResult implements SessionStart.Listener {
    @Override
    public void started(String startedDatabase, KeyDigest startedKey) {
      database = startedDatabase;
      key = startedKey;
      channel.welcome();
    }

    @Override
    public void refused(AnswerCode code, String reason) {
      refuse(code, reason);
    }
  }

  private RoutingDocument document() {
    return node.image().document();
  }

  private void refuse(AnswerCode code, String reason) {
    node.log().session(number, database == null ? "" : database, code + ": " + reason);
    channel.refuse(Answer.error(code, reason, state()));
    end();
  }

  private void query(StatementRequest request) {
    if (database == null) {
      refuse(AnswerCode.MALFORMED, "the session has not started");
    } else if (current == null) {
      process(request);
    } else if (queued.size() < MAX_QUEUED_STATEMENTS) {
      queued.addLast(request);
    } else {
      refuse(AnswerCode.TOO_LARGE, "more than " + MAX_QUEUED_STATEMENTS + " statements are queued");
    }
  }

  /** Ends a connection whose caller has not started a session within the time allowed. */
  public void endUnlessStarted() {
    if (database == null) {
      end();
    }
  }

  /** Called when the caller's connection has closed. */
  public void disconnected() {
    end();
  }

  /** Ends the session as soon as no statement is running and no transaction is open. */
  public void drain() {
    draining = true;
    endIfDrained();
  }

  /** Returns whether a transaction is open and no statement is running. */
  public boolean hasIdleTransaction() {
    return transaction != null && current == null;
  }

  /** Returns whether a transaction is open and a statement is running. */
  public boolean hasRunningTransaction() {
    return transaction != null && current != null;
  }

  /** Rolls back an open transaction and ends its session, unless a statement is running. */
  public void abandon() {
    if (transaction != null && current == null) {
      failTransaction("the node is stopping");
      end();
    }
  }

  private void endIfDrained() {
    if (draining && current == null && transaction == null) {
      end();
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    start.cancel();
    timer.dispose();
    if (execution != null) {
      execution.cancel();
    }
    if (transaction != null) {
      discardTransaction();
    }
    channel.close();
    node.ended(this);
  }

  // ---- statements ----

  private void process(StatementRequest request) {
    current = request;
    currentSinceMillis = node.worker().now();
    timer.dispose();
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
    } else if (statement instanceof Statement.SetValue set) {
      answerLocally(names.set(set.name(), set.value()), AnswerCode.TOO_LARGE, TOO_MANY_NAMES);
    } else if (statement instanceof Statement.Prepare prepare) {
      answerLocally(
          names.prepare(prepare.name(), prepare.shape()), AnswerCode.TOO_LARGE, TOO_MANY_NAMES);
    } else if (statement instanceof Statement.Deallocate deallocate) {
      boolean known = names.deallocate(deallocate.name());
      answerLocally(known, AnswerCode.UNKNOWN_NAME, NO_PREPARED_STATEMENT + deallocate.name());
    } else {
      runAtMember(request);
    }
  }

  /** Answers a statement that is not sent to a member. */
  private void answerLocally(boolean done, AnswerCode errorCode, String reason) {
    answer(done ? Answer.local(state()) : Answer.error(errorCode, reason, state()));
  }

  private static boolean endsTransaction(Statement statement) {
    return statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
  }

  private boolean isFailed() {
    return transaction != null && transaction.isFailed();
  }

  private SessionState state() {
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
    Optional<RouteRule> route = document().route(database);
    PreparedShape shape = null;
    if (request.statement() instanceof Statement.Execute execute) {
      shape = names.prepared(execute.name());
      if (shape == null) {
        answerError(AnswerCode.UNKNOWN_NAME, NO_PREPARED_STATEMENT + execute.name());
        return;
      }
    }
    if (route.isEmpty() && (transaction == null || !transaction.isOpen())) {
      answerError(AnswerCode.UNKNOWN_DATABASE, "the database " + database + " no longer exists");
      return;
    }
    RouteRule rule = route.orElseGet(() -> context.route());
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
            request, rule, tenant.get(), shape, names.values(), lastCommit, traceId);
    if (transaction == null) {
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

  /** Returns whether no transaction is open or the open one was opened for this tenant. */
  private boolean mayContinue(TenantId tenant) {
    return transaction == null || !transaction.isOpen() || transaction.tenant().equals(tenant);
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
    answerError(code, reason);
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
        lastCommit = lastCommit.max(answer.position());
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
      transaction.opened(context.tenant(), links, link);
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
    public void lost(String reason) {
      if (commit) {
        commitUnanswered(reason);
      } else {
        transaction.fail();
        answerError(AnswerCode.ABORTED, reason);
      }
    }
  }

  private void committed(Answer answer, long sentMillis) {
    ClientTransaction done = transaction;
    transaction = null;
    boolean wrote = done.hasWritten();
    if (answer.isComplete() && wrote && answer.position() != null) {
      lastCommit = lastCommit.max(answer.position());
      node.members()
          .recordCommit(context, done.member(), sentMillis, answer.position(), node.log());
    }
    done.releaseLink();
    answer(answer.withState(SessionState.IDLE));
  }

  /** A transaction without writes has changed nothing, whether or not its commit ran. */
  private void commitUnanswered(String reason) {
    boolean wrote = transaction.hasWritten();
    transaction = null;
    answerError(wrote ? AnswerCode.OUTCOME_UNKNOWN : AnswerCode.ABORTED, reason);
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

  private void answer(Answer answer) {
    if (ended) {
      return;
    }
    timer.dispose();
    if (context != null && context.request() == current) {
      node.log().answered(context, answer, node.worker().now() - currentSinceMillis);
    }
    current = null;
    channel.answer(answer);
    if (transaction != null && !transaction.isFailed()) {
      long idleMillis = document().limits().transactionIdleMillis();
      timer = node.worker().schedule(idleMillis, this::idleTimedOut);
    }
    StatementRequest next = queued.pollFirst();
    if (next != null) {
      process(next);
    } else {
      endIfDrained();
    }
  }
}
