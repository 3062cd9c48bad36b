package org.streamcourse.connection.admin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.streamcourse.connection.frontend.CallerChannel;
import org.streamcourse.connection.frontend.FrontendConnection.CallerSession;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.AdminResult;

/**
 * Session of one operator. Accepts statements without parameters in the simple and the extended
 * protocol; the leader executes them one at a time.
 */
final class AdminSession implements CallerSession {
  private static final String QUERY_CANCELED = "57014";
  private static final long STATEMENT_TIMEOUT_MILLIS = 10_000;

  private final CallerChannel channel;
  private final Worker worker;
  private final StatementRouter router;
  private final Deque<WireMessage> queue = new ArrayDeque<>();
  private final List<WireMessage> extended = new ArrayList<>();
  private String parsedSql = "";
  private boolean running;
  private long statements;

  AdminSession(CallerChannel channel, Worker worker, StatementRouter router) {
    this.channel = channel;
    this.worker = worker;
    this.router = router;
  }

  @Override
  public void receive(WireMessage message) {
    worker.execute(
        () -> {
          queue.add(message);
          process();
        });
  }

  @Override
  public void channelClosed() {
    worker.execute(queue::clear);
  }

  @Override
  public void cancel() {
    // Operators' statements are short, so cancel requests are ignored.
  }

  private void process() {
    while (!running && !queue.isEmpty()) {
      handle(queue.poll());
    }
  }

  private void handle(WireMessage message) {
    switch (message.type()) {
      case Frontend.QUERY -> runSimple(message.body().text());
      case Frontend.PARSE -> {
        WireMessage.Reader body = message.body();
        body.text();
        parsedSql = body.text();
        extended.add(message);
      }
      case Frontend.SYNC -> runExtended();
      case Frontend.TERMINATE -> channel.close();
      default -> extended.add(message);
    }
  }

  private void runSimple(String sql) {
    if (sql.isBlank() || isSessionSetting(sql)) {
      channel.send(
          sql.isBlank() ? Backend.empty(Backend.EMPTY_QUERY) : Backend.commandComplete("SET"));
      channel.send(Backend.ready(Backend.STATUS_IDLE));
      return;
    }
    execute(sql, result -> channel.send(simpleAnswer(result)));
  }

  private void runExtended() {
    List<WireMessage> messages = List.copyOf(extended);
    extended.clear();
    boolean executes = messages.stream().anyMatch(each -> each.type() == Frontend.EXECUTE);
    if (!executes || parsedSql.isBlank() || isSessionSetting(parsedSql)) {
      AdminResult noRows = new AdminResult(List.of(), List.of(), "SET", "", "");
      channel.send(extendedAnswer(messages, noRows));
      channel.send(Backend.ready(Backend.STATUS_IDLE));
      return;
    }
    execute(parsedSql, result -> channel.send(extendedAnswer(messages, result)));
  }

  /**
   * Returns whether a statement is a SET, which drivers send after login and which has no effect.
   */
  private static boolean isSessionSetting(String sql) {
    return sql.strip().regionMatches(true, 0, "SET ", 0, "SET ".length());
  }

  private void execute(String sql, java.util.function.Consumer<AdminResult> answer) {
    running = true;
    statements++;
    long statement = statements;
    java.util.function.Consumer<AdminResult> completeOnce =
        result ->
            worker.execute(
                () -> {
                  if (running && statement == statements) {
                    running = false;
                    answer.accept(result);
                    channel.send(Backend.ready(Backend.STATUS_IDLE));
                    process();
                  }
                });
    worker.schedule(
        STATEMENT_TIMEOUT_MILLIS,
        () ->
            completeOnce.accept(
                AdminResult.error(
                    QUERY_CANCELED,
                    "no reply from the leader; the outcome is unknown, send the command again with"
                        + " the same id")));
    router.execute(sql, completeOnce);
  }

  private static byte[] simpleAnswer(AdminResult result) {
    if (!result.sqlState().isEmpty()) {
      return Backend.error("ERROR", result.sqlState(), result.message(), "", "");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    if (!result.columns().isEmpty()) {
      out.writeBytes(Backend.textColumns(result.columns()));
    }
    writeRows(result, out);
    return out.toByteArray();
  }

  private static void writeRows(AdminResult result, ByteArrayOutputStream out) {
    result.rows().forEach(row -> out.writeBytes(Backend.textRow(row)));
    boolean rows = !result.columns().isEmpty();
    String tag = rows ? "SELECT " + result.rows().size() : result.tag();
    out.writeBytes(Backend.commandComplete(tag));
  }

  private static byte[] extendedAnswer(List<WireMessage> messages, AdminResult result) {
    if (!result.sqlState().isEmpty()) {
      return Backend.error("ERROR", result.sqlState(), result.message(), "", "");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (WireMessage message : messages) {
      switch (message.type()) {
        case Frontend.PARSE -> out.writeBytes(Backend.empty(Backend.PARSE_COMPLETE));
        case Frontend.BIND -> out.writeBytes(Backend.empty(Backend.BIND_COMPLETE));
        case Frontend.CLOSE -> out.writeBytes(Backend.empty(Backend.CLOSE_COMPLETE));
        case Frontend.DESCRIBE -> describe(message, result, out);
        case Frontend.EXECUTE -> writeRows(result, out);
        default -> {
          // Flush needs no response; all responses are sent at once.
        }
      }
    }
    return out.toByteArray();
  }

  private static void describe(WireMessage message, AdminResult result, ByteArrayOutputStream out) {
    ByteBuffer body = ByteBuffer.wrap(message.bytes());
    if (body.get(WireMessage.HEADER_BYTES) == Frontend.STATEMENT) {
      out.writeBytes(WireBuilder.message(Backend.PARAMETER_DESCRIPTION).int16(0).bytes());
    }
    out.writeBytes(
        result.columns().isEmpty()
            ? Backend.empty(Backend.NO_DATA)
            : Backend.textColumns(result.columns()));
  }
}
