package org.streamcourse.connection.admin;

import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import org.streamcourse.process.settings.HostPort;

/** Line-oriented console for the admin port, over the PostgreSQL JDBC driver. */
public final class Console {
  private final HostPort admin;
  private final Properties login = new Properties();

  /**
   * Creates a console.
   *
   * @param admin admin port
   * @param user operator's name
   * @param password operator's password
   */
  public Console(HostPort admin, String user, String password) {
    this.admin = admin;
    login.setProperty("user", user);
    login.setProperty("password", password);
    login.setProperty("preferQueryMode", "simple");
    login.setProperty("assumeMinServerVersion", "9.0");
  }

  /**
   * Executes one statement, or each line of the input.
   *
   * @param statement the statement, or null to read lines
   * @param input source of statements, one a line
   * @param output receives results
   * @param errors receives errors
   * @return true when every statement succeeded
   */
  public boolean run(String statement, InputStream input, PrintStream output, PrintStream errors) {
    String url = "jdbc:postgresql://" + admin + "/admin";
    try (Connection connection = DriverManager.getConnection(url, login)) {
      if (statement != null) {
        return execute(connection, statement, output, errors);
      }
      boolean allSucceeded = true;
      BufferedReader lines =
          new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
      for (String line : lines.lines().toList()) {
        allSucceeded &= line.isBlank() || execute(connection, line, output, errors);
      }
      return allSucceeded;
    } catch (SQLException e) {
      errors.println("streamcourse: " + admin + ": " + e.getMessage());
      return false;
    }
  }

  private static boolean execute(
      Connection connection, String sql, PrintStream output, PrintStream errors) {
    try (Statement statement = connection.createStatement()) {
      if (statement.execute(sql)) {
        print(statement.getResultSet(), output);
      } else {
        output.println("OK");
      }
      return true;
    } catch (SQLException e) {
      errors.println(e.getMessage());
      return false;
    }
  }

  private static void print(ResultSet results, PrintStream output) throws SQLException {
    ResultSetMetaData columns = results.getMetaData();
    List<List<String>> table = new ArrayList<>();
    List<String> header = new ArrayList<>();
    for (int i = 1; i <= columns.getColumnCount(); i++) {
      header.add(columns.getColumnName(i));
    }
    table.add(header);
    while (results.next()) {
      List<String> row = new ArrayList<>();
      for (int i = 1; i <= header.size(); i++) {
        row.add(String.valueOf(results.getString(i)));
      }
      table.add(row);
    }
    int[] widths = new int[header.size()];
    table.forEach(
        row -> {
          for (int i = 0; i < widths.length; i++) {
            widths[i] = Math.max(widths[i], row.get(i).length());
          }
        });
    for (List<String> row : table) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        line.append(String.format("%-" + (widths[i] + 2) + "s", row.get(i)));
      }
      output.println(line.toString().stripTrailing());
    }
  }
}
