package org.streamcourse.lab.member;

import java.sql.SQLException;
import java.util.Map;

/** Error sent to the client, with the SQLSTATE that PostgreSQL uses for it. */
final class SqlError extends Exception {
  private static final long serialVersionUID = 1;
  private static final Map<String, String> POSTGRES_STATE_BY_H2_STATE =
      Map.of(
          "42S02", "42P01",
          "42S01", "42P07",
          "42S22", "42703",
          "42S21", "42701",
          "42000", "42601",
          "42001", "42601",
          "HYT00", "55P03",
          "HY000", "XX000",
          "40001", "40P01");

  private final String sqlState;

  SqlError(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  static SqlError of(SQLException e) {
    String state = e.getSQLState() == null ? "XX000" : e.getSQLState();
    return new SqlError(POSTGRES_STATE_BY_H2_STATE.getOrDefault(state, state), e.getMessage());
  }

  String sqlState() {
    return sqlState;
  }
}
