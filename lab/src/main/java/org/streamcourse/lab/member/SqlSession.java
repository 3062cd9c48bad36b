package org.streamcourse.lab.member;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.version.control.MemberStatus;

/**
 * One client connection to a member. Handles login and protocol messages; {@link Transaction} runs
 * the statements.
 */
final class SqlSession implements Runnable {
  /** Database name of connections of the lab itself, which count against no limit. */
  static final String LAB_DATABASE = "lab";

  private static final int MAX_MESSAGE_BYTES = 512 * 1024 * 1024;

  /** A prepared statement. */
  private record Prepared(SqlText text, int[] parameterOids) {}

  private final Socket socket;

  /** Returns the number of callers' statements that the member has run. */
  private static final String SHOW_STATEMENTS = "SHOW lab_statements";

  private final MemberServer server;
  private final int process;
  private final int secret = ThreadLocalRandom.current().nextInt();
  private final Map<String, Prepared> prepared = new HashMap<>();
  private final Map<String, Portal> portals = new HashMap<>();
  private DataInputStream in;
  private OutputStream out;
  private Transaction transaction;
  private boolean skipUntilSync;
  private StatusNotifier notifier;

  SqlSession(Socket socket, MemberServer server, int process) {
    this.socket = socket;
    this.server = server;
    this.process = process;
  }

  int process() {
    return process;
  }

  int secret() {
    return secret;
  }

  void notifyStatus(MemberStatus status) {
    StatusNotifier current = notifier;
    if (current != null) {
      current.offer(status);
    }
  }

  void cancelRunning() {
    transaction.cancel();
  }

  void closeIfWriting() {
    if (transaction != null && transaction.hasWrites()) {
      closeSocket();
    }
  }

  void closeIfUsingDatabase() {
    if (notifier == null) {
      closeSocket();
    }
  }

  private void closeSocket() {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is already closed.
    }
  }

  @Override
  public void run() {
    try (socket) {
      socket.setTcpNoDelay(true);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
      if (login()) {
        serve();
      }
    } catch (IOException e) {
      // The client has disconnected; its open transaction is rolled back below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      if (transaction != null) {
        transaction.close();
      }
      if (notifier != null) {
        notifier.stop();
      }
      server.removeSession(this);
    }
  }

  // ---- login ----

  private boolean login() throws IOException, InterruptedException {
    Map<String, String> startup = new HashMap<>();
    while (true) {
      byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
      WireMessage.Reader reader = new WireMessage.Reader(ByteBuffer.wrap(body));
      int code = reader.int32();
      if (code == Frontend.TLS_CODE || code == Frontend.GSS_CODE) {
        send(new byte[] {'N'});
        out.flush();
        continue;
      }
      if (code == Frontend.CANCEL_CODE) {
        server.cancel(reader.int32(), reader.int32());
        return false;
      }
      for (String name = reader.text(); !name.isEmpty(); name = reader.text()) {
        startup.put(name, reader.text());
      }
      break;
    }
    TimeUnit.MILLISECONDS.sleep(server.limits().connectMillis());
    boolean fromLab = LAB_DATABASE.equals(startup.get("database"));
    if (!fromLab && !server.admit(this)) {
      fatal("53300", "too many connections");
      return false;
    }
    send(Backend.authenticationCleartext());
    out.flush();
    String password = readMessage().body().text();
    boolean known =
        server.limits().user().equals(startup.get("user"))
            && server.limits().password().equals(password);
    if (!known) {
      fatal("28P01", "password authentication failed");
      return false;
    }
    transaction = new Transaction(server);
    sendLoginComplete();
    return true;
  }

  private void sendLoginComplete() throws IOException {
    send(Backend.authenticationOk());
    send(Backend.parameterStatus("server_version", "15.0"));
    send(Backend.parameterStatus("client_encoding", "UTF8"));
    send(Backend.parameterStatus("DateStyle", "ISO, MDY"));
    send(Backend.parameterStatus("integer_datetimes", "on"));
    send(Backend.parameterStatus("standard_conforming_strings", "on"));
    send(Backend.backendKey(process, secret));
    send(Backend.ready(Backend.STATUS_IDLE));
    out.flush();
  }

  private void fatal(String sqlState, String message) throws IOException {
    send(Backend.error("FATAL", sqlState, message, "", ""));
    out.flush();
  }

  // ---- messages ----

  private WireMessage readMessage() throws IOException {
    byte type = in.readByte();
    int length = in.readInt();
    if (length < Integer.BYTES || length > MAX_MESSAGE_BYTES) {
      throw new IOException("message length " + length + " is invalid");
    }
    ByteBuffer whole = ByteBuffer.allocate(1 + length);
    whole.put(type).putInt(length).put(in.readNBytes(length - Integer.BYTES));
    return new WireMessage(whole.array());
  }

  void send(byte[] message) throws IOException {
    synchronized (socket) {
      out.write(message);
    }
  }

  void flush() throws IOException {
    synchronized (socket) {
      out.flush();
    }
  }

  private void serve() throws IOException {
    while (true) {
      WireMessage message = readMessage();
      if (message.type() == Frontend.TERMINATE) {
        return;
      }
      handle(message);
    }
  }

  private void handle(WireMessage message) throws IOException {
    if (skipUntilSync && message.type() != Frontend.SYNC) {
      return;
    }
    try {
      switch (message.type()) {
        case Frontend.QUERY -> simpleQuery(message.body().text());
        case Frontend.PARSE -> parse(message.body());
        case Frontend.BIND -> bind(message.body());
        case Frontend.DESCRIBE -> describe(message.body());
        case Frontend.EXECUTE -> execute(message.body());
        case Frontend.CLOSE -> close(message.body());
        case Frontend.FLUSH -> flush();
        case Frontend.SYNC -> {
          skipUntilSync = false;
          transaction.endImplicit(this);
          ready();
        }
        default -> throw new SqlError("08P01", "unexpected message " + message.type());
      }
    } catch (SqlError e) {
      transaction.fail();
      send(Backend.error("ERROR", e.sqlState(), String.valueOf(e.getMessage()), "", ""));
      if (message.type() == Frontend.QUERY || message.type() == Frontend.SYNC) {
        ready();
      } else {
        skipUntilSync = true;
      }
    }
  }

  private void ready() throws IOException {
    if (transaction.status() == Backend.STATUS_IDLE) {
      portals.values().forEach(Portal::close);
      portals.clear();
    }
    send(Backend.ready(transaction.status()));
    flush();
  }

  private void simpleQuery(String sql) throws IOException, SqlError {
    List<SqlText> statements = SqlText.split(sql);
    if (statements.isEmpty()) {
      send(Backend.empty(Backend.EMPTY_QUERY));
    }
    for (SqlText statement : statements) {
      Portal portal = new Portal(statement, List.of(), new int[0]);
      portal.run(this, true, 0);
      portal.close();
    }
    transaction.endImplicit(this);
    ready();
  }

  private void parse(WireMessage.Reader body) throws IOException {
    String name = body.text();
    SqlText text = new SqlText(body.text().replaceAll(";\\s*$", ""));
    int[] oids = new int[body.int16()];
    for (int i = 0; i < oids.length; i++) {
      oids[i] = body.int32();
    }
    prepared.put(name, new Prepared(text, oids));
    send(Backend.empty(Backend.PARSE_COMPLETE));
  }

  private Prepared statement(String name) throws SqlError {
    Prepared found = prepared.get(name);
    if (found == null) {
      throw new SqlError("26000", "prepared statement \"" + name + "\" does not exist");
    }
    return found;
  }

  private void bind(WireMessage.Reader body) throws IOException, SqlError {
    String portalName = body.text();
    Prepared statement = statement(body.text());
    int[] parameterFormats = readInt16s(body);
    int count = body.int16();
    java.util.ArrayList<Object> parameters = new java.util.ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int oid = i < statement.parameterOids().length ? statement.parameterOids()[i] : 0;
      parameters.add(WireTypes.decode(body.value(), oid, formatOf(parameterFormats, i) == 1));
    }
    Portal old =
        portals.put(portalName, new Portal(statement.text(), parameters, readInt16s(body)));
    if (old != null) {
      old.close();
    }
    send(Backend.empty(Backend.BIND_COMPLETE));
  }

  private static int[] readInt16s(WireMessage.Reader body) {
    int[] values = new int[body.int16()];
    for (int i = 0; i < values.length; i++) {
      values[i] = body.int16();
    }
    return values;
  }

  static int formatOf(int[] formats, int index) {
    if (formats.length == 0) {
      return 0;
    }
    return formats.length == 1 ? formats[0] : formats[index];
  }

  private void describe(WireMessage.Reader body) throws IOException, SqlError {
    char kind = (char) body.int8();
    String name = body.text();
    if (kind == Frontend.STATEMENT) {
      Prepared statement = statement(name);
      int[] oids = transaction.parameterOids(statement.text(), statement.parameterOids());
      WireBuilder description =
          WireBuilder.message(Backend.PARAMETER_DESCRIPTION).int16(oids.length);
      for (int oid : oids) {
        description.int32(oid);
      }
      send(description.bytes());
      send(transaction.describeRows(statement.text(), new int[0]));
    } else {
      send(portal(name).describe(transaction));
    }
  }

  private Portal portal(String name) throws SqlError {
    Portal portal = portals.get(name);
    if (portal == null) {
      throw new SqlError("34000", "portal \"" + name + "\" does not exist");
    }
    return portal;
  }

  private void execute(WireMessage.Reader body) throws IOException, SqlError {
    Portal portal = portal(body.text());
    portal.run(this, false, body.int32());
  }

  private void close(WireMessage.Reader body) throws IOException {
    char kind = (char) body.int8();
    String name = body.text();
    if (kind == Frontend.STATEMENT) {
      prepared.remove(name);
    } else {
      Portal portal = portals.remove(name);
      if (portal != null) {
        portal.close();
      }
    }
    send(Backend.empty(Backend.CLOSE_COMPLETE));
  }

  Transaction transaction() {
    return transaction;
  }

  Member member() {
    return server.member();
  }

  /**
   * Value that SHOW returns; tests read the number of statements run through {@code
   * lab_statements}.
   */
  String shownValue(SqlText text) {
    return text.sql().equalsIgnoreCase(SHOW_STATEMENTS)
        ? Long.toString(server.statementsRun())
        : text.shownValue();
  }

  /** Executes a statement that changes session state, such as SET; returns its command tag. */
  String executeSessionStatement(SqlText text) {
    switch (text.keyword()) {
      case "LISTEN" -> {
        notifier = new StatusNotifier();
        notifier.start();
      }
      case "DISCARD" -> {
        prepared.clear();
        portals.values().forEach(Portal::close);
        portals.clear();
      }
      default -> {
        // Session parameters have no effect in the stand-in.
      }
    }
    return text.keyword().equals("DISCARD") ? "DISCARD ALL" : text.keyword();
  }

  /** Sends the latest status to the client from a separate thread; skips statuses in between. */
  private final class StatusNotifier {
    private final Thread thread = new Thread(this::run, "notify-" + process);
    private MemberStatus next;

    void start() {
      thread.setDaemon(true);
      thread.start();
    }

    void stop() {
      thread.interrupt();
    }

    synchronized void offer(MemberStatus status) {
      next = status;
      notifyAll();
    }

    private synchronized MemberStatus take() throws InterruptedException {
      while (next == null) {
        wait();
      }
      MemberStatus taken = next;
      next = null;
      return taken;
    }

    private void run() {
      try {
        while (true) {
          MemberStatus status = take();
          send(
              WireBuilder.message(Backend.NOTIFICATION)
                  .int32(process)
                  .text("group_status")
                  .text(MemberStatements.notificationPayload(status))
                  .bytes());
          flush();
        }
      } catch (IOException e) {
        closeSocket();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
