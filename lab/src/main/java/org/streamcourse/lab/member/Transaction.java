package org.streamcourse.lab.member;

import java.io.IOException;
import java.sql.Connection;
import java.sql.ParameterMetaData;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.lab.member.Member.WrongRoleException;
import org.streamcourse.version.image.TermPosition;

/** Transaction state of a session: its H2 connection, and its writes for the log. */
final class Transaction {
  private static final String READ_ONLY = "25006";
  private static final String ABORTED = "25P02";

  private final MemberServer server;
  private final List<LoggedStatement> writes = new ArrayList<>();
  private Connection connection;
  private boolean explicit;
  private boolean aborted;
  private volatile boolean hasWrites;
  private volatile Statement running;

  Transaction(MemberServer server) {
    this.server = server;
  }

  char status() {
    if (!explicit) {
      return Backend.STATUS_IDLE;
    }
    return aborted ? Backend.STATUS_FAILED_TRANSACTION : Backend.STATUS_IN_TRANSACTION;
  }

  boolean hasWrites() {
    return hasWrites;
  }

  private Connection connection() throws SQLException {
    if (connection == null) {
      connection = server.member().connect();
    }
    return connection;
  }

  void acquireSlot() throws SqlError {
    server.acquireSlot();
  }

  void releaseSlot() {
    server.releaseSlot();
  }

  void cancel() {
    Statement current = running;
    try {
      if (current != null) {
        current.cancel();
      }
    } catch (SQLException e) {
      // The statement has already ended.
    }
  }

  // ---- statements ----

  PreparedStatement execute(SqlText text, List<Object> parameters) throws SqlError {
    if (aborted && explicit) {
      throw new SqlError(ABORTED, "current transaction is aborted");
    }
    boolean logged = text.isLogged();
    if (!text.isRead() && !server.member().isPrimary()) {
      throw new SqlError(READ_ONLY, "cannot write: this member is not the primary");
    }
    try {
      if (text.isDefinition() && explicit) {
        // H2 commits before a definition, so earlier writes must be logged first.
        commitWrites(null);
      }
      PreparedStatement statement = prepare(text);
      Engine.bind(statement, parameters);
      running = statement;
      hasWrites |= logged;
      statement.execute();
      if (logged) {
        writes.add(
            new LoggedStatement(
                text.toH2(), new ArrayList<>(parameters), generatedKey(text, statement)));
      }
      return statement;
    } catch (SQLException e) {
      throw SqlError.of(e);
    } catch (IOException e) {
      throw new SqlError("08006", e.toString());
    } finally {
      running = null;
    }
  }

  private PreparedStatement prepare(SqlText text) throws SQLException {
    return text.insertTable() != null && text.toH2().startsWith("INSERT")
        ? connection().prepareStatement(text.toH2(), Statement.RETURN_GENERATED_KEYS)
        : connection().prepareStatement(text.toH2());
  }

  /** Returns the first generated key of an INSERT; replicas set their key generators to it. */
  private static LoggedStatement.GeneratedKey generatedKey(
      SqlText text, PreparedStatement statement) throws SQLException {
    if (text.insertTable() == null || !text.toH2().startsWith("INSERT")) {
      return null;
    }
    try (ResultSet keys = statement.getGeneratedKeys()) {
      if (!keys.next()) {
        return null;
      }
      ResultSetMetaData columns = keys.getMetaData();
      for (int i = 1; i <= columns.getColumnCount(); i++) {
        if (columns.isAutoIncrement(i)) {
          return new LoggedStatement.GeneratedKey(
              text.insertTable(), columns.getColumnName(i), keys.getLong(i));
        }
      }
      return null;
    }
  }

  // ---- transaction ----

  /** Executes BEGIN, COMMIT or ROLLBACK; returns its command tag. */
  String executeControl(SqlText text, SqlSession session) throws SqlError, IOException {
    if (text.isBegin()) {
      explicit = true;
      return "BEGIN";
    }
    boolean commits = text.isCommit() && !aborted;
    explicit = false;
    if (commits) {
      commitWrites(session);
    } else {
      rollback();
    }
    return commits ? "COMMIT" : "ROLLBACK";
  }

  /** Commits statements that ran outside of an explicit transaction. */
  void endImplicit(SqlSession session) throws SqlError, IOException {
    if (explicit) {
      return;
    }
    if (aborted) {
      rollback();
    } else {
      commitWrites(session);
    }
  }

  void fail() {
    aborted = true;
    if (!explicit) {
      rollback();
    }
  }

  private void commitWrites(SqlSession session) throws SqlError, IOException {
    if (connection == null) {
      return;
    }
    try {
      if (writes.isEmpty()) {
        connection.commit();
        return;
      }
      TermPosition position = server.member().commit(connection, writes);
      if (session != null) {
        session.send(
            Backend.parameterStatus(MemberStatements.COMMIT_POSITION, position.toString()));
      }
    } catch (SQLException e) {
      throw SqlError.of(e);
    } catch (WrongRoleException e) {
      throw new SqlError(READ_ONLY, e.getMessage());
    } finally {
      writes.clear();
      hasWrites = false;
    }
  }

  private void rollback() {
    aborted = false;
    writes.clear();
    hasWrites = false;
    try {
      if (connection != null) {
        connection.rollback();
      }
    } catch (SQLException e) {
      // The database was replaced or closed, which has discarded the transaction.
    }
  }

  void close() {
    rollback();
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (SQLException e) {
      // The connection is already closed.
    }
  }

  // ---- descriptions ----

  int[] parameterOids(SqlText text, int[] given) throws SqlError {
    try (PreparedStatement statement = connection().prepareStatement(text.toH2())) {
      ParameterMetaData parameters = statement.getParameterMetaData();
      int[] oids = new int[parameters.getParameterCount()];
      for (int i = 0; i < oids.length; i++) {
        boolean known = i < given.length && given[i] != 0;
        oids[i] = known ? given[i] : WireTypes.oidOf(parameters.getParameterType(i + 1));
      }
      return oids;
    } catch (SQLException e) {
      if (text.isBegin() || text.isEnd() || text.isSession()) {
        return new int[0];
      }
      throw SqlError.of(e);
    }
  }

  byte[] describeRows(SqlText text, int[] formats) throws SqlError {
    if (GroupFunctions.isCall(text.sql())) {
      return Backend.textColumns(GroupFunctions.COLUMNS);
    }
    if (text.keyword().equals("SHOW")) {
      return Backend.textColumns(List.of("setting"));
    }
    if (text.isEmpty() || text.isBegin() || text.isEnd() || text.isSession()) {
      return Backend.empty(Backend.NO_DATA);
    }
    if (aborted && explicit) {
      throw new SqlError(ABORTED, "current transaction is aborted");
    }
    try (PreparedStatement statement = connection().prepareStatement(text.toH2())) {
      ResultSetMetaData columns = statement.getMetaData();
      return columns == null ? Backend.empty(Backend.NO_DATA) : columns(columns, formats);
    } catch (SQLException e) {
      throw SqlError.of(e);
    }
  }

  int[] columnOids(ResultSetMetaData columns) throws SQLException {
    int[] oids = new int[columns.getColumnCount()];
    for (int i = 0; i < oids.length; i++) {
      boolean uuid = columns.getColumnTypeName(i + 1).equals("UUID");
      oids[i] = uuid ? WireTypes.UUID_OID : WireTypes.oidOf(columns.getColumnType(i + 1));
    }
    return oids;
  }

  byte[] columns(ResultSetMetaData columns, int[] formats) throws SQLException {
    int[] oids = columnOids(columns);
    WireBuilder builder = WireBuilder.message(Backend.ROW_DESCRIPTION).int16(oids.length);
    for (int i = 0; i < oids.length; i++) {
      builder
          .text(columns.getColumnLabel(i + 1).toLowerCase(java.util.Locale.ROOT))
          .int32(0)
          .int16(0)
          .int32(oids[i])
          .int16(-1)
          .int32(-1)
          .int16(SqlSession.formatOf(formats, i));
    }
    return builder.bytes();
  }
}
