package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.connection.session.ClientMessage;
import org.streamcourse.connection.session.ClientSession;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.TenantId;

/** A simulated caller that opens sessions at proxies and runs operations one after the other. */
final class SimServiceCaller {
  private static final long ANSWER_TIMEOUT_MILLIS = 4_000;
  private static final long MAX_PAUSE_MILLIS = 60;
  private static final long TRANSACTION_PAUSE_MILLIS = 30;
  private static final int OPERATIONS_PER_SESSION = 12;
  private static final double TRANSACTION_SHARE = 0.3;
  private static final double WRITE_SHARE = 0.3;
  private static final double SET_SHARE = 0.1;
  private static final double PREPARE_SHARE = 0.2;
  private static final PreparedShape READ_SHAPE = new PreparedShape(false, "shape");

  private final String name;
  private final ServiceWorld world;
  private final UniformRandomProvider random;
  private final RouteConsistency consistency;
  private final TenantId tenant;
  private final Map<String, String> values = new HashMap<>();
  private final Deque<Statement> script = new ArrayDeque<>();
  private final List<String> transactionWrites = new ArrayList<>();
  private SimServiceProxy proxy;
  private int proxyIncarnation;
  private ClientSession session;
  private Channel channel;
  private long sessionNumber;
  private String key;
  private long statements;
  private long operations;
  private String transaction = "";
  private long transactionSentMillis;
  private boolean firstOfTransaction;
  private boolean stopped;
  private String waitingFor = "";
  private Statement current;
  private String currentId;

  SimServiceCaller(
      String name,
      ServiceWorld world,
      UniformRandomProvider random,
      RouteConsistency consistency,
      TenantId tenant) {
    this.name = name;
    this.world = world;
    this.random = random;
    this.consistency = consistency;
    this.tenant = tenant;
  }

  void start() {
    world.after(random.nextLong(MAX_PAUSE_MILLIS), this::connect);
  }

  void stop() {
    stopped = true;
  }

  /** One connection of the caller; answers on an earlier connection are ignored. */
  private final class Channel implements ClientChannel {
    private boolean open = true;

    private void ifCurrent(Runnable task) {
      world.afterCallerLatency(
          () -> {
            if (open && channel == this) {
              task.run();
            }
          });
    }

    @Override
    public void welcome() {
      ifCurrent(SimServiceCaller.this::begin);
    }

    @Override
    public void answer(Answer answer) {
      ifCurrent(() -> answered(answer));
    }

    @Override
    public void refuse(Answer error) {
      ifCurrent(SimServiceCaller.this::disconnected);
    }

    @Override
    public void close() {
      ifCurrent(SimServiceCaller.this::disconnected);
    }
  }

  /** Runs a task after a delay, unless the connection has ended meanwhile. */
  private void afterDelay(long delayMillis, Runnable task) {
    Channel expected = channel;
    world.after(
        delayMillis,
        () -> {
          if (channel == expected) {
            task.run();
          }
        });
  }

  private void connect() {
    if (stopped) {
      return;
    }
    proxy = world.readyProxy(random);
    if (proxy == null) {
      world.after(MAX_PAUSE_MILLIS, this::connect);
      return;
    }
    sessionNumber = world.nextSession();
    values.clear();
    script.clear();
    transaction = "";
    channel = new Channel();
    Channel opened = channel;
    SimServiceProxy target = proxy;
    proxyIncarnation = target.host().incarnation();
    int incarnation = proxyIncarnation;
    world.afterCallerLatency(
        () ->
            target.execute(
                incarnation,
                () -> {
                  ClientSession created = target.open(opened);
                  if (channel == opened) {
                    session = created;
                  }
                }));
    key = world.operator().keyOf(tenant);
    send(new ClientMessage.Start(SimOperator.databaseOf(consistency), SimOperator.digest(key)));
    startTimeout("welcome");
  }

  private void send(ClientMessage message) {
    Channel expected = channel;
    SimServiceProxy target = proxy;
    int incarnation = proxyIncarnation;
    world.afterCallerLatency(
        () -> {
          if (channel == expected && session != null) {
            ClientSession receiver = session;
            target.execute(incarnation, () -> receiver.receive(message));
          }
        });
  }

  /** Starts the timeout of an answer, after which the connection is closed. */
  private void startTimeout(String what) {
    String token = what + '/' + sessionNumber + '/' + statements;
    waitingFor = token;
    world.after(
        ANSWER_TIMEOUT_MILLIS,
        () -> {
          if (waitingFor.equals(token)) {
            ClientSession timedOut = session;
            if (timedOut != null) {
              proxy.execute(proxyIncarnation, timedOut::disconnected);
            }
            disconnected();
          }
        });
  }

  private void disconnected() {
    waitingFor = "";
    channel = null;
    session = null;
    transactionWrites.clear();
    world.after(1 + random.nextLong(MAX_PAUSE_MILLIS), this::connect);
  }

  private void begin() {
    waitingFor = "";
    operations = 0;
    afterDelay(random.nextLong(MAX_PAUSE_MILLIS), this::operate);
  }

  private void operate() {
    if (session == null || waitingFor.startsWith("statement")) {
      return;
    }
    operations++;
    if (stopped || operations > OPERATIONS_PER_SESSION) {
      send(new ClientMessage.Terminate());
      disconnected();
      return;
    }
    plan();
    next();
  }

  private void plan() {
    script.clear();
    boolean writes =
        consistency != RouteConsistency.BOUNDED_STALENESS && random.nextDouble() < WRITE_SHARE;
    if (random.nextDouble() < SET_SHARE) {
      script.add(new Statement.SetValue("v" + random.nextInt(2), "x" + random.nextInt(3)));
    }
    if (random.nextDouble() < PREPARE_SHARE) {
      script.add(new Statement.Prepare("s", READ_SHAPE));
      script.add(new Statement.Execute("s", "thing"));
    } else if (random.nextDouble() < TRANSACTION_SHARE) {
      script.add(new Statement.Begin(!writes));
      script.add(new Statement.Read());
      script.add(writes ? new Statement.Write() : new Statement.Read());
      script.add(random.nextInt(5) == 0 ? new Statement.Rollback() : new Statement.Commit());
    } else {
      script.add(writes ? new Statement.Write() : new Statement.Read());
    }
  }

  private void next() {
    Statement statement = script.pollFirst();
    if (statement == null) {
      afterDelay(random.nextLong(MAX_PAUSE_MILLIS), this::operate);
      return;
    }
    if (session == null) {
      return;
    }
    statements++;
    String id = name + '-' + statements;
    if (statement instanceof Statement.Begin) {
      transaction = id;
      transactionSentMillis = world.nowMillis();
      firstOfTransaction = true;
      transactionWrites.clear();
    } else if (statement instanceof Statement.SetValue set) {
      values.put(set.name(), set.value());
    } else if (statement instanceof Statement.Write && !transaction.isEmpty()) {
      transactionWrites.add(id);
    }
    world.recordSent(
        id,
        new ServiceWorld.SentStatement(
            consistency,
            tenant,
            key,
            proxy.host().name(),
            sessionNumber,
            Map.copyOf(values),
            transaction,
            firstOfTransaction,
            transaction.isEmpty() ? world.nowMillis() : transactionSentMillis));
    firstOfTransaction &= statement instanceof Statement.Begin;
    send(
        new ClientMessage.Query(
            new StatementRequest(new StatementId(id), textOf(statement), statement)));
    current = statement;
    currentId = id;
    startTimeout("statement");
  }

  private static String textOf(Statement statement) {
    if (statement instanceof Statement.Write) {
      return "WRITE thing data";
    }
    return statement instanceof Statement.Commit ? "COMMIT" : "READ thing";
  }

  private void answered(Answer answer) {
    waitingFor = "";
    boolean runsAtMember =
        current instanceof Statement.Read
            || current instanceof Statement.Write
            || current instanceof Statement.Execute
            || current instanceof Statement.Commit;
    if (runsAtMember) {
      world.checks().answered(currentId, answer.code());
    }
    if (answer.isComplete()) {
      if (runsAtMember) {
        world.checks().signature(currentId, answer.text(), "signed/");
      }
      acknowledge();
    } else if (!transaction.isEmpty() && answer.code().hasNoEffect()) {
      transactionWrites.forEach(write -> world.checks().answered(write, answer.code()));
    }
    if (answer.state() == SessionState.IDLE) {
      transaction = "";
    }
    boolean keyRefused = answer.code() == AnswerCode.NOT_ALLOWED;
    if (keyRefused || !answer.isComplete() && current instanceof Statement.SetValue) {
      disconnected();
      return;
    }
    if (!answer.isComplete()) {
      script.clear();
      if (answer.state() != SessionState.IDLE) {
        script.add(new Statement.Rollback());
      }
    }
    afterDelay(transaction.isEmpty() ? 0 : random.nextLong(TRANSACTION_PAUSE_MILLIS), this::next);
  }

  private void acknowledge() {
    if (current instanceof Statement.Write && transaction.isEmpty()) {
      world.acknowledged(currentId);
    } else if (current instanceof Statement.Commit) {
      transactionWrites.forEach(world::acknowledged);
    }
  }
}
