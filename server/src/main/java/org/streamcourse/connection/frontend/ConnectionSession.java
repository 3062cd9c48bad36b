package org.streamcourse.connection.frontend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.Unit;
import org.streamcourse.request.edge.EdgeNode;
import org.streamcourse.request.edge.FloorToken;
import org.streamcourse.request.edge.Request;
import org.streamcourse.request.edge.RequestExecutor;
import org.streamcourse.request.edge.RequestListener;
import org.streamcourse.request.edge.StatementClass;
import org.streamcourse.request.edge.StatementClass.Kind;
import org.streamcourse.version.image.TermPosition;

/**
 * Session of one authenticated caller: floor, parameters, prepared statements and transaction.
 *
 * <p>One request runs at a time. Messages that arrive meanwhile are queued; above a limit on their
 * bytes, reading from the caller pauses. All methods but {@link #receive}, {@link #channelClosed},
 * {@link #cancel}, {@link #drain}, {@link #end} and {@link #terminate} run on the session's worker.
 */
public final class ConnectionSession implements RequestListener {
  private final CallerChannel channel;
  private final EdgeNode edge;
  private final Worker worker;
  private final FrontendSettings settings;
  private final String group;
  private final String user;
  private final SessionParameters parameters = new SessionParameters();
  private final PreparedStatements statements = new PreparedStatements();
  private final RequestExecutor executor;
  private final RequestLog log;
  private final Deque<WireMessage> queue = new ArrayDeque<>();
  private final ParseCompleteFilter filter = new ParseCompleteFilter();
  private ExtendedUnit unit;
  private TermPosition floor = TermPosition.ZERO;
  private boolean floorKnown;
  private Runnable pendingRead;
  private int queuedBytes;
  private boolean paused;
  private boolean running;
  private boolean runningEndsWithReady;
  private boolean runningEndsTransaction;
  private boolean skipUntilSync;
  private boolean transactionFailed;
  private boolean draining;

  /** Whether the session ends without its transaction, as soon as no request is running. */
  private boolean ending;

  private boolean closed;
  private char status = Backend.STATUS_IDLE;

  /**
   * Creates a session.
   *
   * @param channel caller's connection
   * @param edge this node's edge
   * @param worker worker of this session
   * @param settings settings of callers' connections
   * @param group group that the caller connects to
   * @param user name with which the caller has logged in
   */
  public ConnectionSession(
      CallerChannel channel,
      EdgeNode edge,
      Worker worker,
      FrontendSettings settings,
      String group,
      String user) {
    this.channel = channel;
    this.edge = edge;
    this.worker = worker;
    this.settings = settings;
    this.group = group;
    this.user = user;
    this.log = new RequestLog(edge.self(), edge.nextSession(), group, edge.failureLogBudget());
    this.executor = new RequestExecutor(edge, worker, this);
    this.unit = newUnit();
  }

  private ExtendedUnit newUnit() {
    return new ExtendedUnit(edge.classifier(), statements);
  }

  // ---- opening and closing ----

  /**
   * Sets a parameter of the caller's startup message.
   *
   * @param name parameter
   * @param value value of the parameter
   */
  public void startupParameter(String name, String value) {
    if (name.equals(SessionParameters.FLOOR)) {
      floor = FloorToken.read(edge.fleetKey(), group, value);
      floorKnown = true;
    } else {
      parameters.set(name, value);
    }
  }

  /** Requests the group's floor, unless the caller has supplied one at startup. */
  public void open() {
    if (!floorKnown) {
      edge.readFloor(group, found -> worker.execute(() -> floorFound(found)));
    }
  }

  private void floorFound(TermPosition found) {
    floor = floor.max(found);
    floorKnown = true;
    Runnable waiting = pendingRead;
    pendingRead = null;
    if (waiting != null) {
      waiting.run();
    }
  }

  /**
   * Receives a message of the caller.
   *
   * @param message the message
   */
  public void receive(WireMessage message) {
    worker.execute(() -> enqueue(message));
  }

  /** The caller's connection is closed. */
  public void channelClosed() {
    worker.execute(
        () -> {
          closed = true;
          pendingRead = null;
          queue.clear();
          executor.close();
        });
  }

  /** Cancels the running request, for a cancel request on another connection. */
  public void cancel() {
    worker.execute(executor::cancel);
  }

  /** Ends the session as soon as no request runs and no transaction is open. */
  public void drain() {
    worker.execute(
        () -> {
          draining = true;
          endIfDrained();
        });
  }

  /**
   * Ends the session now, or after the answer to its running request: an open transaction is rolled
   * back, and requests that wait are not run.
   */
  public void end() {
    worker.execute(
        () -> {
          ending = true;
          endIfDrained();
        });
  }

  /** Ends the session with an error for its running request, as the process is about to exit. */
  public void terminate() {
    worker.execute(
        () -> {
          ending = true;
          if (pendingRead != null) {
            pendingRead = null;
            failed(SessionErrors.stopping(false));
          }
          executor.giveUp();
          endIfDrained();
        });
  }

  /**
   * Returns whether the session has ended; on the session's worker.
   *
   * @return true once the session accepts no more requests
   */
  public boolean isClosed() {
    return closed;
  }

  private void endIfDrained() {
    boolean inTransaction = executor.isPinned() || transactionFailed;
    boolean idle = !running && queue.isEmpty() && unit.isEmpty() && !inTransaction;
    if (!closed && (draining && idle || ending && !running)) {
      fatal(SessionErrors.stopping(inTransaction));
    }
  }

  // ---- requests ----

  private void enqueue(WireMessage message) {
    queue.add(message);
    queuedBytes += message.size();
    if (queuedBytes > settings.maxQueuedBytes() && !paused) {
      paused = true;
      channel.pauseReading();
    }
    process();
  }

  private void process() {
    while (!running && !closed && !ending && !queue.isEmpty()) {
      WireMessage message = queue.poll();
      queuedBytes -= message.size();
      handle(message);
    }
    if (paused && queuedBytes <= settings.maxQueuedBytes() / 2) {
      paused = false;
      channel.resumeReading();
    }
    endIfDrained();
  }

  private void handle(WireMessage message) {
    switch (message.type()) {
      case Frontend.QUERY -> simpleQuery(message);
      case Frontend.SYNC -> sync(message);
      case Frontend.FLUSH -> flush(message);
      case Frontend.TERMINATE -> {
        closed = true;
        executor.close();
        channel.close();
      }
      case Frontend.PARSE, Frontend.BIND, Frontend.DESCRIBE, Frontend.EXECUTE, Frontend.CLOSE -> {
        if (!skipUntilSync) {
          extended(message);
        }
      }
      default ->
          fatal(SessionErrors.violation("message type '" + message.type() + "' is not supported"));
    }
  }

  private void extended(WireMessage message) {
    try {
      unit.add(message);
      if (unit.size() > settings.maxFrameBytes()) {
        fatal(
            SessionErrors.violation(
                "request exceeds the limit of " + settings.maxFrameBytes() + " bytes"));
      }
    } catch (StreamcourseException e) {
      fatal(e);
    }
  }

  private void fatal(StreamcourseException error) {
    closed = true;
    executor.close();
    channel.send(ErrorResponses.of("FATAL", error));
    channel.close();
  }

  private void simpleQuery(WireMessage message) {
    String sql;
    try {
      sql = message.body().text();
    } catch (StreamcourseException e) {
      fatal(e);
      return;
    }
    StatementClass statementClass = edge.classifier().classify(sql);
    byte[] local = localAnswer(statementClass, sql, true);
    if (local != null) {
      channel.send(local);
      channel.send(Backend.ready(status));
      return;
    }
    run(statementClass, message.bytes(), true);
  }

  private void sync(WireMessage message) {
    if (skipUntilSync || unit.isEmpty()) {
      skipUntilSync = false;
      unit = newUnit();
      channel.send(Backend.ready(status));
      return;
    }
    runExtended(message, true);
  }

  private void flush(WireMessage message) {
    if (!skipUntilSync && !unit.isEmpty()) {
      runExtended(message, false);
    }
  }

  private void runExtended(WireMessage end, boolean endsWithReady) {
    StatementClass statementClass = unit.statementClass();
    byte[] local = localAnswer(statementClass, unit.firstSql(), false);
    if (local != null) {
      channel.send(local);
      unit = newUnit();
      if (endsWithReady) {
        channel.send(Backend.ready(status));
      }
      return;
    }
    unit.add(end);
    filter.expect(unit.takeParsesToHide());
    byte[] messages = unit.messages();
    if (endsWithReady) {
      unit = newUnit();
    } else {
      unit.restartAfterFlush();
    }
    run(statementClass, messages, endsWithReady);
  }

  /** Returns the answer, without ReadyForQuery, if no member is needed for it; else null. */
  private byte[] localAnswer(StatementClass statementClass, String sql, boolean simple) {
    try {
      LocalStatements.Answer answer =
          LocalStatements.answer(statementClass, sql, parameters, this::proxyParameter, status);
      if (transactionFailed) {
        answer = answerInFailedTransaction(statementClass);
      } else if (answer == null || executor.isPinned()) {
        return null;
      }
      return simple ? answer.simple() : answer.extended(unit.originals());
    } catch (StreamcourseException e) {
      skipUntilSync = !simple;
      return ErrorResponses.of("ERROR", e);
    }
  }

  private LocalStatements.Answer answerInFailedTransaction(StatementClass statementClass) {
    if (statementClass.kind() == Kind.END) {
      transactionFailed = false;
      status = Backend.STATUS_IDLE;
      return LocalStatements.Answer.tag("ROLLBACK");
    }
    throw SessionErrors.transactionLost();
  }

  private String proxyParameter(String name) {
    return switch (name) {
      case SessionParameters.FLOOR -> FloorToken.write(edge.fleetKey(), group, floor);
      case SessionParameters.REQUEST_KEY -> parameters.requestKey();
      case SessionParameters.MAX_STALENESS ->
          String.valueOf(
              Math.min(
                  parameters.maxStalenessMillis(),
                  edge.image().groups().get(group).rules().maxStalenessMillis()));
      default -> throw SessionErrors.unknownParameter(name);
    };
  }

  private void run(StatementClass statementClass, byte[] messages, boolean endsWithReady) {
    running = true;
    log.requestStarted();
    runningEndsWithReady = endsWithReady;
    runningEndsTransaction = statementClass.endsTransaction();
    boolean inTransaction = executor.isPinned();
    boolean reads = isRead(statementClass);
    boolean staysInTransaction = inTransaction && !statementClass.endsTransaction();
    boolean mayCommit = endsWithReady && !reads && !staysInTransaction;
    String requestKey = "";
    if (!inTransaction && statementClass.kind() == Kind.WRITE) {
      requestKey = parameters.takeRequestKey();
      if (!requestKey.isEmpty() && (statementClass.changesSession() || !endsWithReady)) {
        failed(SessionErrors.requestKeyNotApplicable());
        return;
      }
    }
    Unit sent =
        new Unit(messages, endsWithReady, mayCommit, statementClass.changesSession(), requestKey);
    if (inTransaction) {
      executor.next(sent);
    } else if (reads) {
      whenFloorKnown(() -> start(Purpose.READ, sent));
    } else {
      start(Purpose.WRITE, sent);
    }
  }

  private boolean isRead(StatementClass statementClass) {
    return switch (statementClass.kind()) {
      case READ, BEGIN_READ_ONLY -> !statementClass.changesSession();
      case BEGIN -> parameters.isReadOnly();
      default -> false;
    };
  }

  private void whenFloorKnown(Runnable task) {
    if (floorKnown) {
      task.run();
      return;
    }
    pendingRead = task;
    worker.schedule(
        settings.floorTimeoutMillis(),
        () -> {
          if (pendingRead == task) {
            pendingRead = null;
            failed(SessionErrors.noFloor(group, settings.floorTimeoutMillis()));
          }
        });
  }

  private void start(Purpose purpose, Unit sent) {
    List<String> parameterStatements = parameters.statements();
    executor.start(
        new Request(
            group,
            user,
            purpose,
            floor,
            parameters.maxStalenessMillis(),
            parameterStatements,
            sent));
  }

  // ---- answers ----

  @Override
  public void output(byte[] messages) {
    byte[] visible = filter.apply(messages);
    int size = messages.length;
    channel.send(visible, () -> worker.execute(() -> executor.credit(size)));
  }

  @Override
  public void done(char newStatus, TermPosition position, boolean committed, boolean open) {
    if (committed) {
      floor = floor.max(position);
      floorKnown = true;
      String token = FloorToken.write(edge.fleetKey(), group, floor);
      channel.send(Backend.parameterStatus(SessionParameters.FLOOR, token));
    }
    status = newStatus;
    finishRequest();
  }

  @Override
  public void failed(StreamcourseException error) {
    boolean abortsTransaction =
        status != Backend.STATUS_IDLE && !(running && runningEndsTransaction);
    transactionFailed = abortsTransaction;
    status = abortsTransaction ? Backend.STATUS_FAILED_TRANSACTION : Backend.STATUS_IDLE;
    if (!running) {
      return;
    }
    log.requestFailed(error, executor.trace(), worker.now());
    channel.send(ErrorResponses.of("ERROR", error, log.requestId()));
    if (!runningEndsWithReady) {
      skipUntilSync = true;
      unit = newUnit();
      running = false;
      filter.clear();
      process();
      return;
    }
    finishRequest();
  }

  private void finishRequest() {
    filter.clear();
    running = false;
    channel.send(Backend.ready(status));
    process();
  }
}
