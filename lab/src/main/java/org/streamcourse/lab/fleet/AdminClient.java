package org.streamcourse.lab.fleet;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.process.settings.HostPort;

/** Executes operators' statements at the first controller that accepts them. */
public final class AdminClient {
  private static final String ADMIN_DATABASE = "admin";

  private final Map<String, HostPort> addresses;

  /**
   * Creates a client.
   *
   * @param addresses admin addresses by controller
   */
  public AdminClient(Map<String, HostPort> addresses) {
    this.addresses = Map.copyOf(addresses);
  }

  /**
   * Executes a statement at the first controller, by name, that accepts it.
   *
   * @param sql the statement
   * @return rows by column name
   * @throws SQLException when no controller executed the statement; the error of the last one
   */
  public List<Map<String, String>> execute(String sql) throws SQLException {
    SQLException last = null;
    for (HostPort address : new TreeMap<>(addresses).values()) {
      try {
        return execute(address, sql);
      } catch (SQLException e) {
        last = e;
      }
    }
    throw last == null ? new SQLException("fleet has no controllers") : last;
  }

  private static List<Map<String, String>> execute(HostPort address, String sql)
      throws SQLException {
    try (Connection connection = Fleet.connect(address, ADMIN_DATABASE, "");
        Statement statement = connection.createStatement()) {
      List<Map<String, String>> rows = new ArrayList<>();
      if (statement.execute(sql)) {
        ResultSet results = statement.getResultSet();
        while (results.next()) {
          rows.add(row(results));
        }
      }
      return rows;
    }
  }

  private static Map<String, String> row(ResultSet results) throws SQLException {
    Map<String, String> row = new TreeMap<>();
    for (int i = 1; i <= results.getMetaData().getColumnCount(); i++) {
      row.put(results.getMetaData().getColumnName(i), results.getString(i));
    }
    return row;
  }
}
