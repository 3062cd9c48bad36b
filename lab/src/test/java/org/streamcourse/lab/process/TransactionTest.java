package org.streamcourse.lab.process;

import static org.testng.Assert.assertEquals;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against a statement that runs within another caller's transaction, where it would be
 * visible, or committed or rolled back with it. More callers than the member has slots run
 * transactions concurrently; half of the transactions are rolled back.
 */
public class TransactionTest {
  private static final int CALLERS = 10;
  private static final int TRANSACTIONS = 6;
  private static final int PARTS = 3;
  private static final long TIMEOUT_SECONDS = 120;

  @BeforeClass
  public void createTable() throws Exception {
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE IF NOT EXISTS parts (caller INT, number INT, part INT)");
    }
  }

  @Test
  public void statementsRunInTheirOwnTransaction() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    List<Future<Void>> runs = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      runs.add(threads.submit(callerRuns(caller)));
    }
    for (Future<Void> run : runs) {
      run.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    threads.shutdown();
    try (Connection connection = SharedFleet.connect()) {
      for (int caller = 0; caller < CALLERS; caller++) {
        for (int number = 0; number < TRANSACTIONS; number++) {
          int kept = isCommitted(caller, number) ? PARTS : 0;
          assertEquals(countParts(connection, caller, number), kept, caller + "/" + number);
        }
      }
    }
  }

  /** Callers with adjacent numbers end concurrent transactions in opposite ways. */
  private static boolean isCommitted(int caller, int number) {
    return (caller + number) % 2 == 0;
  }

  private Callable<Void> callerRuns(int caller) {
    return () -> {
      try (Connection connection = SharedFleet.connect()) {
        connection.setAutoCommit(false);
        for (int number = 0; number < TRANSACTIONS; number++) {
          runTransaction(connection, caller, number);
        }
      }
      return null;
    };
  }

  private static void runTransaction(Connection connection, int caller, int number)
      throws SQLException {
    for (int part = 1; part <= PARTS; part++) {
      try (PreparedStatement insert =
          connection.prepareStatement("INSERT INTO parts VALUES (?, ?, ?)")) {
        insert.setInt(1, caller);
        insert.setInt(2, number);
        insert.setInt(3, part);
        assertEquals(insert.executeUpdate(), 1);
      }
      assertEquals(countParts(connection, caller, number), part, "its own statements so far");
    }
    if (isCommitted(caller, number)) {
      connection.commit();
    } else {
      connection.rollback();
    }
  }

  private static int countParts(Connection connection, int caller, int number) throws SQLException {
    try (PreparedStatement select =
        connection.prepareStatement("SELECT count(*) FROM parts WHERE caller = ? AND number = ?")) {
      select.setInt(1, caller);
      select.setInt(2, number);
      try (ResultSet rows = select.executeQuery()) {
        rows.next();
        return rows.getInt(1);
      }
    }
  }
}
