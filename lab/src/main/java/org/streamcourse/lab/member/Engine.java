package org.streamcourse.lab.member;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/** In-memory H2 database of a member; rebuilt from the log after the log is truncated. */
final class Engine {
  /** H2 error code for a lock that was not acquired within the lock timeout. */
  static final int LOCK_TIMEOUT_ERROR = 50200;

  private static final String OPTIONS =
      ";MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE;DEFAULT_NULL_ORDERING=HIGH;DB_CLOSE_DELAY=-1"
          + ";LOCK_TIMEOUT=2000;LAZY_QUERY_EXECUTION=1";

  private final String url = "jdbc:h2:mem:" + UUID.randomUUID() + OPTIONS;
  private final Connection applyConnection;
  private final Map<String, Long> nextKeyByTable = new HashMap<>();

  Engine() throws SQLException {
    applyConnection = connect();
    try (Statement statement = applyConnection.createStatement()) {
      statement.execute(
          "CREATE ALIAS IF NOT EXISTS pg_sleep FOR \""
              + EngineFunctions.class.getName()
              + ".sleep\"");
    }
    applyConnection.commit();
  }

  Connection connect() throws SQLException {
    Connection connection = DriverManager.getConnection(url);
    connection.setAutoCommit(false);
    return connection;
  }

  /** Applies a record of the log. Must not be called by several threads at a time. */
  void apply(LogRecord record) throws SQLException {
    for (LoggedStatement statement : record.statements()) {
      alignKey(statement.generatedKey());
    }
    for (LoggedStatement statement : record.statements()) {
      try (PreparedStatement prepared = applyConnection.prepareStatement(statement.sql())) {
        bind(prepared, statement.parameters());
        prepared.execute();
      }
    }
    applyConnection.commit();
  }

  /**
   * Makes the next generated key of this database equal to the primary's. The primary's keys have
   * gaps where inserts were rolled back.
   */
  private void alignKey(LoggedStatement.GeneratedKey key) throws SQLException {
    if (key == null) {
      return;
    }
    Long expected = nextKeyByTable.put(key.table(), key.value() + 1);
    if (expected == null || expected != key.value()) {
      try (Statement statement = applyConnection.createStatement()) {
        statement.execute(
            "ALTER TABLE "
                + key.table()
                + " ALTER COLUMN "
                + key.column()
                + " RESTART WITH "
                + key.value());
      }
    }
  }

  void rollback() {
    try {
      applyConnection.rollback();
    } catch (SQLException e) {
      throw new IllegalStateException("H2 failed to roll back", e);
    }
  }

  static void bind(PreparedStatement prepared, List<Object> parameters) throws SQLException {
    for (int i = 0; i < parameters.size(); i++) {
      prepared.setObject(i + 1, parameters.get(i));
    }
  }

  void close() {
    try (Statement statement = applyConnection.createStatement()) {
      statement.execute("SHUTDOWN IMMEDIATELY");
    } catch (SQLException e) {
      // The database is in memory; after a failed shutdown it is garbage collected.
    }
  }
}
