package org.streamcourse.lab.simulation;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.connection.frontend.CallerChannel;
import org.streamcourse.connection.frontend.ConnectionSession;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.lab.simulation.History.Outcome;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;

/**
 * A caller that inserts and reads bookings, in single statements or transactions, and reconnects to
 * random proxies with or without its floor token. It checks each answer against its own request and
 * records outcomes in the history.
 */
public class SimCaller {
  private static final long PAUSE_MILLIS = 30;
  private static final long ANSWER_TIMEOUT_MILLIS = 20_000;
  private static final long RECONNECT_MILLIS = 100;
  private static final int SLOTS = 5;
  private static final double TRANSACTION_SHARE = 0.25;
  private static final double KEYED_SHARE = 0.3;
  private static final int MAX_RESENDS = 8;
  private static final String ALREADY_RUN = "SC001";
  private static final double RECONNECT_SHARE = 0.06;
  private static final double TOKEN_SHARE = 0.6;
  private static final String FLOOR = "streamcourse.floor";
  private static final String ADMIN_SHUTDOWN = "57P01";

  private final String name;
  private final String group;
  private final World world;
  private final UniformRandomProvider random;
  private final Worker worker;
  private final double readShare;
  private final Map<String, Set<String>> ownAcknowledged = new HashMap<>();
  private Connection connection;
  private String token = "";
  private long requests;
  private boolean stopped;

  /** Runs when the outstanding answer does not arrive in time. */
  private Runnable onTimeout = () -> {};

  private AnswerHandler onAnswer;
  private long waitNumber;

  /**
   * Handles a complete answer, or the loss of the connection as an error with state {@code 08006}.
   */
  private interface AnswerHandler {
    void answered(Answer answer);
  }

  /** One complete answer. */
  private record Answer(List<List<String>> rows, String tag, String errorState, String errorText) {
    boolean isError() {
      return !errorState.isEmpty();
    }
  }

  SimCaller(
      String name, String group, World world, UniformRandomProvider random, double readShare) {
    this.name = name;
    this.group = group;
    this.world = world;
    this.random = random;
    this.readShare = readShare;
    this.worker = world.clockWorker();
  }

  void start() {
    worker.schedule(random.nextInt((int) PAUSE_MILLIS) + 1L, this::step);
  }

  void stop() {
    stopped = true;
  }

  // ---- requests ----

  private void step() {
    if (stopped) {
      return;
    }
    boolean reconnects = random.nextDouble() < RECONNECT_SHARE;
    if (connection == null || connection.closed || reconnects) {
      connect();
      return;
    }
    requests++;
    String slot = "slot" + random.nextInt(SLOTS);
    double kind = random.nextDouble();
    if (kind < readShare) {
      read(slot);
    } else if (kind < readShare + TRANSACTION_SHARE * (1 - readShare)) {
      transaction(slot);
    } else if (random.nextDouble() < KEYED_SHARE) {
      new KeyedBooking(slot, name + '-' + requests).send();
    } else {
      book(slot);
    }
  }

  private void pause() {
    worker.schedule(PAUSE_MILLIS / 2 + random.nextInt((int) PAUSE_MILLIS), this::step);
  }

  private void connect() {
    if (reconnect()) {
      pause();
    } else {
      worker.schedule(RECONNECT_MILLIS, this::step);
    }
  }

  /** Connects to a random proxy; returns false when that proxy accepts no callers. */
  private boolean reconnect() {
    if (connection != null) {
      connection.disconnect();
      connection = null;
    }
    SimProxy proxy = world.randomProxy(random);
    if (proxy == null || !proxy.accepts()) {
      return false;
    }
    Connection next = new Connection(proxy);
    String presentedToken = presentsToken() && !token.isEmpty() ? token : "";
    if (next.open(presentedToken)) {
      connection = next;
    }
    return true;
  }

  /**
   * Decides whether the caller presents its floor token when it connects.
   *
   * @return true to present the token
   */
  protected boolean presentsToken() {
    return random.nextDouble() < TOKEN_SHARE;
  }

  private void read(String slot) {
    String tag = "single-" + name + '-' + requests;
    long start = world.nowMillis();
    Set<String> own = Set.copyOf(ownAcknowledged.getOrDefault(slot, Set.of()));
    query(
        "SELECT id, '" + tag + "' AS tag FROM bookings WHERE slot = '" + slot + "'",
        answer -> {
          if (!answer.isError()) {
            checkOwn(answer, tag);
            List<String> seen = answer.rows().stream().map(row -> row.get(0)).toList();
            world.history().readEnded(name, slot, seen, own, start, world.maxStalenessMillis());
          }
          afterAnswer(answer);
        });
  }

  private void checkOwn(Answer answer, String tag) {
    boolean ownRows = answer.rows().stream().allMatch(row -> row.get(1).equals(tag));
    boolean complete = answer.tag().equals("SELECT " + answer.rows().size());
    world.history().answerChecked(name, ownRows && complete, () -> tag + " got " + answer);
  }

  private void book(String slot) {
    String id = name + '-' + requests;
    query(
        insert(slot, id, "single-" + id),
        answer -> {
          ended(slot, id, answer);
          afterAnswer(answer);
        });
  }

  /** A booking with a request key, resent through other proxies until its outcome is known. */
  private final class KeyedBooking {
    private final String slot;
    private final String id;
    private int resends;

    KeyedBooking(String slot, String id) {
      this.slot = slot;
      this.id = id;
    }

    void send() {
      String key = "name-" + id;
      query(
          "SET streamcourse.request_key = '" + key + "'",
          keySet -> {
            if (keySet.isError()) {
              answered(keySet);
            } else {
              query(insert(slot, id, "single-" + key), this::answered);
            }
          });
    }

    private void answered(Answer answer) {
      Outcome outcome = outcomeOf(answer);
      boolean known =
          outcome == Outcome.ACKNOWLEDGED || (resends == 0 && outcome != Outcome.UNKNOWN);
      if (!known && resends < MAX_RESENDS) {
        resends++;
        worker.schedule(RECONNECT_MILLIS, this::resend);
        return;
      }
      // An earlier attempt may have run, whatever the outcome of the last one.
      ended(slot, id, known ? outcome : Outcome.UNKNOWN);
      afterAnswer(answer);
    }

    private void resend() {
      if (reconnect()) {
        send();
      } else {
        worker.schedule(RECONNECT_MILLIS, this::resend);
      }
    }
  }

  private static String insert(String slot, String id, String tag) {
    return "INSERT INTO bookings (slot, id, tag) VALUES ('"
        + slot
        + "', '"
        + id
        + "', '"
        + tag
        + "')";
  }

  private void transaction(String slot) {
    String first = name + '-' + requests + 'a';
    String second = name + '-' + requests + 'b';
    String tag = "tx-" + name + '-' + requests;
    query(
        "BEGIN /* " + tag + " */",
        begun ->
            nextInTransaction(
                begun,
                List.of(insert(slot, first, tag), insert(slot, second, tag)),
                () ->
                    query(
                        "COMMIT",
                        answer -> {
                          ended(slot, first, answer);
                          ended(slot, second, answer);
                          afterAnswer(answer);
                        })));
  }

  private void nextInTransaction(Answer before, List<String> statements, Runnable commit) {
    if (before.isError()) {
      query("ROLLBACK", any -> afterAnswer(before));
    } else if (statements.isEmpty()) {
      commit.run();
    } else {
      List<String> rest = statements.subList(1, statements.size());
      query(statements.get(0), answer -> nextInTransaction(answer, rest, commit));
    }
  }

  private void ended(String slot, String id, Answer answer) {
    ended(slot, id, outcomeOf(answer));
  }

  private void ended(String slot, String id, Outcome outcome) {
    world.history().bookingEnded(slot, id, outcome);
    if (outcome == Outcome.ACKNOWLEDGED) {
      ownAcknowledged.computeIfAbsent(slot, any -> new HashSet<>()).add(id);
    }
  }

  private static Outcome outcomeOf(Answer answer) {
    if (!answer.isError()) {
      return answer.tag().equals("ROLLBACK") ? Outcome.FAILED : Outcome.ACKNOWLEDGED;
    }
    if (answer.errorState().equals(ALREADY_RUN)) {
      return Outcome.ACKNOWLEDGED;
    }
    if (answer.errorText().startsWith("not run")) {
      return Outcome.NOT_RUN;
    }
    return answer.errorState().startsWith("08") ? Outcome.UNKNOWN : Outcome.FAILED;
  }

  private void afterAnswer(Answer answer) {
    if (answer.isError() && !answer.errorState().equals(ALREADY_RUN)) {
      world.recordError(name, answer.errorState(), answer.errorText());
      if (connection != null && connection.closed) {
        connection = null;
      }
    }
    pause();
  }

  // ---- waiting for answers ----

  private void query(String sql, AnswerHandler handler) {
    waitNumber++;
    long number = waitNumber;
    onAnswer = handler;
    onTimeout =
        () -> {
          Connection unresponsive = connection;
          connection = null;
          if (unresponsive != null) {
            unresponsive.disconnect();
          }
          handler.answered(lost("no answer within " + ANSWER_TIMEOUT_MILLIS + " ms"));
        };
    worker.schedule(
        ANSWER_TIMEOUT_MILLIS,
        () -> {
          if (number == waitNumber && onAnswer != null) {
            onAnswer = null;
            onTimeout.run();
          }
        });
    if (connection == null || connection.closed) {
      complete(lost("connection was closed"));
    } else {
      connection.query(sql);
    }
  }

  private static Answer lost(String what) {
    return new Answer(List.of(), "", "08006", what);
  }

  private void complete(Answer answer) {
    AnswerHandler handler = onAnswer;
    onAnswer = null;
    if (handler != null) {
      handler.answered(answer);
    }
  }

  /** A connection to one incarnation of a proxy. */
  private final class Connection implements CallerChannel {
    private final SimProxy proxy;
    private final int proxyIncarnation;
    private ConnectionSession session;
    private List<List<String>> rows = new ArrayList<>();
    private String tag = "";
    private String errorState = "";
    private String errorText = "";
    private boolean closed;

    Connection(SimProxy proxy) {
      this.proxy = proxy;
      this.proxyIncarnation = proxy.host().incarnation();
    }

    boolean open(String floorToken) {
      session = proxy.openSession(this, group);
      try {
        if (!floorToken.isEmpty()) {
          session.startupParameter(FLOOR, floorToken);
        }
      } catch (StreamcourseException e) {
        world.history().answerChecked(name, false, () -> "own token refused: " + e.getMessage());
        return false;
      }
      session.open();
      proxy.onKilled(this::onProxyKilled);
      return true;
    }

    void query(String sql) {
      rows = new ArrayList<>();
      tag = "";
      errorState = "";
      errorText = "";
      atProxy(() -> session.receive(new WireMessage(Frontend.query(sql))));
    }

    void disconnect() {
      closed = true;
      atProxy(session::channelClosed);
    }

    private void atProxy(Runnable task) {
      world.afterCallerLatency(() -> proxy.host().execute(proxyIncarnation, task));
    }

    /** Closes the connection after the proxy's process has died. */
    private void onProxyKilled() {
      world.afterCallerLatency(this::closedByProxy);
    }

    private void closedByProxy() {
      if (!closed) {
        closed = true;
        if (connection == this) {
          boolean errorReceived = !errorState.isEmpty();
          complete(errorReceived ? answer() : lost("connection lost"));
        }
      }
    }

    private Answer answer() {
      return new Answer(rows, tag, errorState, errorText);
    }

    // ---- called by the proxy ----

    @Override
    public void send(byte[] messages) {
      world.afterCallerLatency(() -> receive(messages));
    }

    @Override
    public void send(byte[] messages, Runnable whenTaken) {
      send(messages);
      whenTaken.run();
    }

    @Override
    public void pauseReading() {
      // Not needed: the caller has one request outstanding at a time.
    }

    @Override
    public void resumeReading() {
      // Not needed: the caller has one request outstanding at a time.
    }

    @Override
    public void close() {
      world.afterCallerLatency(this::closedByProxy);
    }

    private void receive(byte[] bytes) {
      if (closed) {
        return;
      }
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      int at = 0;
      while (at < bytes.length) {
        int size = 1 + buffer.getInt(at + 1);
        ByteArrayOutputStream one = new ByteArrayOutputStream();
        one.write(bytes, at, size);
        message(new WireMessage(one.toByteArray()));
        at += size;
      }
    }

    private void message(WireMessage message) {
      switch (message.type()) {
        case Backend.DATA_ROW -> rows.add(Backend.readTextRow(message));
        case Backend.COMMAND_COMPLETE -> tag = message.body().text();
        case Backend.PARAMETER_STATUS -> {
          WireMessage.Reader body = message.body();
          if (body.text().equals(FLOOR)) {
            token = body.text();
          }
        }
        case Backend.ERROR -> error(message);
        case Backend.READY -> complete(answer());
        default -> {
          // Row descriptions and notices are ignored.
        }
      }
    }

    private void error(WireMessage message) {
      errorState = Backend.sqlState(message);
      String detail = Backend.errorFields(message).getOrDefault('D', "");
      errorText = detail.isEmpty() ? Backend.errorText(message) : detail;
      if (errorState.equals(ADMIN_SHUTDOWN) && onAnswer == null) {
        closed = true;
      }
    }
  }
}
