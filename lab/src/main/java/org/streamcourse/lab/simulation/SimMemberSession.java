package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TermPosition;

/**
 * Both ends of a connection between a gateway and a simulated member. It exchanges messages of the
 * PostgreSQL wire protocol, limited to simple queries and a few statements.
 */
final class SimMemberSession implements MemberSession {
  private static final long STATEMENT_MILLIS = 2;
  private static final long DRAIN_GRACE_MILLIS = 3_000;
  private static final Pattern ORDER =
      Pattern.compile("SELECT \\* FROM group_(fence|promote|follow)\\((\\d+)(?:, '([^']*)')?\\)");
  private static final Pattern INSERT =
      Pattern.compile(
          "INSERT INTO bookings \\(slot, id, tag\\) VALUES \\('(.*)', '(.*)', '(.*)'\\)");
  private static final Pattern SELECT =
      Pattern.compile("SELECT id, '(.*)' AS tag FROM bookings WHERE slot = '(.*)'");
  private static final Pattern CLAIM =
      Pattern.compile(
          "BEGIN; INSERT INTO streamcourse_requests \\(request_key\\) VALUES \\('(.*)'\\)");
  private static final Pattern BEGIN = Pattern.compile("BEGIN /\\* (.*) \\*/");

  private final SimMember member;
  private final SimHost gateway;
  private final int gatewayIncarnation;
  private final int memberIncarnation;
  private final Deque<byte[]> queue = new ArrayDeque<>();
  private final List<SimRecord.Booking> written = new ArrayList<>();
  private Listener listener;
  private boolean running;
  private boolean subscribed;
  private boolean inTransaction;
  private String transactionTag = "";

  /** Whether the member accepts no more statements; known at the member only. */
  private boolean ended;

  /** Whether the member has closed the connection; known at the gateway only. */
  private boolean closed;

  private Runnable whenClosed = () -> {};

  SimMemberSession(SimMember member, SimHost gateway) {
    this.member = member;
    this.gateway = gateway;
    this.gatewayIncarnation = gateway.incarnation();
    this.memberIncarnation = member.host().incarnation();
  }

  // ---- the gateway's end ----

  @Override
  public void listen(Listener next) {
    listener = next;
  }

  @Override
  public void send(byte[] messages) {
    atMember(() -> receive(messages));
  }

  @Override
  public void pauseReading() {
    // Answers are too small for back-pressure.
  }

  @Override
  public void resumeReading() {
    // Answers are too small for back-pressure.
  }

  @Override
  public void cancel() {
    // Statements are too short to be worth cancelling.
  }

  @Override
  public void end(Runnable whenEnded) {
    listener = null;
    if (closed) {
      whenEnded.run();
    } else {
      whenClosed = whenEnded;
      atMember(this::endAtMember);
    }
  }

  @Override
  public void close() {
    end(() -> {});
  }

  private void onClosedByMember() {
    closed = true;
    Runnable waiting = whenClosed;
    whenClosed = () -> {};
    waiting.run();
  }

  private void atMember(Runnable task) {
    member
        .network()
        .deliver(
            gateway.name(),
            member.host().name(),
            () -> member.host().execute(memberIncarnation, task));
  }

  private void atGateway(Runnable task) {
    member
        .network()
        .deliver(
            member.host().name(), gateway.name(), () -> gateway.execute(gatewayIncarnation, task));
  }

  // ---- the member's end ----

  /**
   * Closes the connection, and rolls back its transaction, after the gateway's process has died.
   */
  void gatewayDied() {
    atMember(this::endAtMember);
  }

  /**
   * Accepts no more statements; a running one completes before the member closes the connection.
   */
  private void endAtMember() {
    dropWork();
    if (!running) {
      closeAtMember();
    }
  }

  private void dropWork() {
    ended = true;
    written.clear();
    queue.clear();
  }

  private void closeAtMember() {
    member.closed(this);
    atGateway(this::onClosedByMember);
  }

  /** Closes the connection because the member's process has died or the member ends it. */
  void closeByMember() {
    dropWork();
    atGateway(
        () -> {
          Listener last = listener;
          onClosedByMember();
          if (last != null) {
            last.onClosed("connection reset");
          }
        });
  }

  void endIfWriting() {
    if (!written.isEmpty() || inTransaction) {
      member.closed(this);
      closeByMember();
    }
  }

  void statusChanged() {
    if (subscribed) {
      answer(
          List.of(
              WireBuilder.message(Backend.NOTIFICATION)
                  .int32(1)
                  .text("group_status")
                  .text(MemberStatements.notificationPayload(member.status()))
                  .bytes()));
    }
  }

  private void answer(List<byte[]> messages) {
    atGateway(
        () -> {
          for (byte[] message : messages) {
            if (listener != null) {
              listener.onMessage(new WireMessage(message));
            }
          }
          if (listener != null) {
            listener.onReadComplete();
          }
        });
  }

  private void receive(byte[] messages) {
    if (!ended && messages[0] == Frontend.QUERY) {
      queue.add(messages);
      next();
    }
  }

  private void next() {
    if (running || queue.isEmpty() || ended) {
      return;
    }
    String sql = new WireMessage(queue.poll()).body().text();
    boolean takesSlot = sql.startsWith("INSERT") || sql.startsWith("SELECT id");
    running = true;
    if (!takesSlot) {
      finish(execute(sql));
      return;
    }
    member.statementStarted();
    int startedIncarnation = member.host().incarnation();
    Worker worker = member.worker();
    worker.schedule(
        STATEMENT_MILLIS,
        () -> {
          if (startedIncarnation == member.host().incarnation()) {
            member.statementEnded();
          }
          if (!ended) {
            finish(execute(sql));
          } else if (startedIncarnation == member.host().incarnation()) {
            running = false;
            closeAtMember();
          }
        });
  }

  private void finish(List<byte[]> answers) {
    running = false;
    if (!ended) {
      answers.add(Backend.ready(member.reportedStatus(inTransaction)));
      answer(answers);
      next();
    }
  }

  private static List<byte[]> messages(byte[]... messages) {
    return new ArrayList<>(List.of(messages));
  }

  private static List<byte[]> error(String sqlState, String text) {
    return messages(Backend.error("ERROR", sqlState, text, "", ""));
  }

  private List<byte[]> execute(String sql) {
    Matcher insert = INSERT.matcher(sql);
    Matcher select = SELECT.matcher(sql);
    Matcher begin = BEGIN.matcher(sql);
    Matcher order = ORDER.matcher(sql);
    Matcher claim = CLAIM.matcher(sql);
    if (claim.matches()) {
      return claim(claim.group(1));
    }
    if (insert.matches()) {
      return insert(insert.group(1), insert.group(2), insert.group(3));
    }
    if (select.matches()) {
      return select(select.group(2), select.group(1));
    }
    if (begin.matches()) {
      member.history().statementOnConnection(!inTransaction, "BEGIN within " + transactionTag);
      member.history().unitStarted(member.id(), DRAIN_GRACE_MILLIS);
      inTransaction = true;
      transactionTag = begin.group(1);
      return messages(Backend.commandComplete("BEGIN"));
    }
    if (order.matches()) {
      return order(order);
    }
    return switch (sql) {
      case MemberStatements.STATUS -> statusRow();
      case MemberStatements.LISTEN -> {
        subscribed = true;
        yield messages(Backend.commandComplete("LISTEN"));
      }
      case "COMMIT" -> commit();
      case "ROLLBACK" -> {
        written.clear();
        inTransaction = false;
        yield messages(Backend.commandComplete("ROLLBACK"));
      }
      default -> messages(Backend.commandComplete("SET"));
    };
  }

  private List<byte[]> statusRow() {
    return messages(
        Backend.textRow(MemberStatements.fields(member.status())),
        Backend.commandComplete("SELECT 1"));
  }

  private List<byte[]> order(Matcher order) {
    long term = Long.parseLong(order.group(2));
    boolean done =
        switch (order.group(1)) {
          case "fence" -> member.fence(term);
          case "promote" -> member.promote(term);
          default -> member.follow(term, order.group(3));
        };
    return done ? statusRow() : error("55000", "refused in this role or term");
  }

  private void checkStatement(String tag) {
    boolean expected = inTransaction ? tag.equals(transactionTag) : tag.startsWith("single");
    member
        .history()
        .statementOnConnection(
            expected,
            tag + " on a connection of " + (inTransaction ? transactionTag : "no transaction"));
    if (!inTransaction) {
      member.history().unitStarted(member.id(), DRAIN_GRACE_MILLIS);
    }
  }

  private List<byte[]> insert(String slot, String id, String tag) {
    checkStatement(tag);
    if (!member.isPrimary()) {
      return error(MemberStatements.READ_ONLY, "cannot write: not the primary");
    }
    written.add(new SimRecord.Booking(slot, id));
    byte[] complete = Backend.commandComplete("INSERT 0 1");
    if (inTransaction) {
      return messages(complete);
    }
    List<byte[]> answers = messages(complete);
    answers.addAll(commitWritten());
    return answers;
  }

  /** Opens a transaction that claims a request key; the single statement of the request follows. */
  private List<byte[]> claim(String key) {
    member.history().statementOnConnection(!inTransaction, "claim within " + transactionTag);
    member.history().unitStarted(member.id(), DRAIN_GRACE_MILLIS);
    if (!member.isPrimary()) {
      return error(MemberStatements.READ_ONLY, "cannot write: not the primary");
    }
    SimRecord.Booking row = new SimRecord.Booking(SimRecord.REQUEST_KEYS, key);
    String refusal = member.refusalOfClaim(row);
    if (!refusal.isEmpty()) {
      return error(refusal, "name " + key + " is taken");
    }
    inTransaction = true;
    transactionTag = "single-" + key;
    written.add(row);
    return messages(Backend.commandComplete("INSERT 0 1"));
  }

  boolean hasWritten(SimRecord.Booking row) {
    return written.contains(row);
  }

  private List<byte[]> commit() {
    inTransaction = false;
    List<byte[]> answers = messages(Backend.commandComplete("COMMIT"));
    answers.addAll(commitWritten());
    return answers;
  }

  private List<byte[]> commitWritten() {
    if (written.isEmpty()) {
      return List.of();
    }
    TermPosition position = member.commit(written);
    written.clear();
    return position == null
        ? error(MemberStatements.READ_ONLY, "cannot commit: not the primary")
        : messages(Backend.parameterStatus(MemberStatements.COMMIT_POSITION, position.toString()));
  }

  private List<byte[]> select(String slot, String tag) {
    checkStatement(tag);
    List<String> ids = member.read(slot);
    List<byte[]> answers = messages(Backend.textColumns(List.of("id", "tag")));
    for (String id : ids) {
      answers.add(Backend.textRow(List.of(id, tag)));
    }
    answers.add(Backend.commandComplete("SELECT " + ids.size()));
    return answers;
  }
}
