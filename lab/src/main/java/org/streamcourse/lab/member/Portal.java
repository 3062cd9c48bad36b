package org.streamcourse.lab.member;

import java.io.IOException;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.List;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.WireBuilder;

/** A bound statement. Executes it and sends its rows, in several parts if a row limit is set. */
final class Portal {
  private final SqlText text;
  private final List<Object> parameters;
  private final int[] formats;
  private PreparedStatement statement;
  private ResultSet rows;
  private int[] oids;
  private long sent;

  Portal(SqlText text, List<Object> parameters, int[] formats) {
    this.text = text;
    this.parameters = parameters;
    this.formats = formats;
  }

  byte[] describe(Transaction transaction) throws SqlError {
    return transaction.describeRows(text, formats);
  }

  void run(SqlSession session, boolean withColumns, int maxRows) throws IOException, SqlError {
    if (rows != null) {
      sendRows(session, maxRows);
      return;
    }
    if (text.isEmpty()) {
      session.send(Backend.empty(Backend.EMPTY_QUERY));
    } else if (GroupFunctions.isCall(text.sql())) {
      List<String> row = GroupFunctions.call(session.member(), text.sql());
      sendTextRow(session, withColumns, GroupFunctions.COLUMNS, row);
    } else if (text.keyword().equals("SHOW")) {
      sendTextRow(session, withColumns, List.of("setting"), List.of(session.shownValue(text)));
    } else if (text.isSession()) {
      session.send(Backend.commandComplete(session.executeSessionStatement(text)));
    } else if (text.isBegin() || text.isEnd()) {
      session.send(Backend.commandComplete(session.transaction().executeControl(text, session)));
    } else {
      execute(session, withColumns, maxRows);
    }
  }

  private static void sendTextRow(
      SqlSession session, boolean withColumns, List<String> columns, List<String> row)
      throws IOException {
    if (withColumns) {
      session.send(Backend.textColumns(columns));
    }
    session.send(Backend.textRow(row));
    session.send(Backend.commandComplete("SELECT 1"));
  }

  private void execute(SqlSession session, boolean withColumns, int maxRows)
      throws IOException, SqlError {
    Transaction transaction = session.transaction();
    transaction.acquireSlot();
    try {
      statement = transaction.execute(text, parameters);
      rows = statement.getResultSet();
      if (rows == null) {
        session.send(Backend.commandComplete(updateTag(statement.getUpdateCount())));
        return;
      }
      oids = transaction.columnOids(rows.getMetaData());
      if (withColumns) {
        session.send(transaction.columns(rows.getMetaData(), formats));
      }
      sendRows(session, maxRows);
    } catch (SQLException e) {
      throw SqlError.of(e);
    } finally {
      transaction.releaseSlot();
    }
  }

  private String updateTag(int count) {
    return switch (text.keyword()) {
      case "INSERT" -> "INSERT 0 " + count;
      case "UPDATE", "DELETE", "MERGE" -> text.keyword() + ' ' + count;
      case "CREATE", "DROP", "ALTER" -> {
        String[] words = text.sql().split("\\s+", 3);
        yield words[0].toUpperCase(java.util.Locale.ROOT)
            + ' '
            + words[1].toUpperCase(java.util.Locale.ROOT);
      }
      default -> text.keyword();
    };
  }

  private void sendRows(SqlSession session, int maxRows) throws IOException, SqlError {
    try {
      int part = 0;
      while (rows.next()) {
        sendRow(session);
        sent++;
        part++;
        if (maxRows > 0 && part == maxRows) {
          session.send(Backend.empty(Backend.PORTAL_SUSPENDED));
          return;
        }
      }
    } catch (SQLException e) {
      throw SqlError.of(e);
    }
    boolean changes = !text.isRead() && !text.keyword().equals("SELECT");
    String prefix = text.keyword().equals("INSERT") ? "INSERT 0 " : text.keyword() + ' ';
    session.send(Backend.commandComplete((changes ? prefix : "SELECT ") + sent));
    sent = 0;
  }

  private void sendRow(SqlSession session) throws IOException, SQLException {
    WireBuilder row = WireBuilder.message(Backend.DATA_ROW).int16(oids.length);
    for (int i = 0; i < oids.length; i++) {
      boolean binary = SqlSession.formatOf(formats, i) == 1;
      row.value(WireTypes.encode(rows, i + 1, oids[i], binary));
    }
    session.send(row.bytes());
  }

  void close() {
    try {
      if (statement != null) {
        statement.close();
      }
    } catch (SQLException e) {
      // The connection is closed, which has closed the statement.
    }
  }
}
