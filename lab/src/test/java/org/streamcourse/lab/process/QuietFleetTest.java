package org.streamcourse.lab.process;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against requests that fail after idle time because idle links count as unresponsive. */
public class QuietFleetTest {
  private static final int CONTROLLERS = 3;

  /** More proxies than hold connections to one member, so that proxies send each other requests. */
  private static final int PROXIES = 4;

  private static final int ROUNDS = 4;

  /** Longer than the time without reply after which a link counts as unresponsive. */
  private static final long IDLE_SECONDS = 6;

  /** Longer than the interval of 1 s at which nodes report open transactions to each other. */
  private static final long TRANSACTION_SECONDS = 2;

  private Fleet fleet;

  @BeforeClass
  public void start() throws Exception {
    Profile stations = Profile.STATIONS;
    Profile twoGroups =
        new Profile(
            "quiet",
            stations.regions(),
            List.of("group1", "group2"),
            stations.connections(),
            stations.slots(),
            stations.connectMillis(),
            stations.zoneMicros(),
            stations.regionMicros(),
            stations.callerMicros(),
            stations.readShare());
    fleet =
        new Fleet(
            twoGroups,
            Files.createTempDirectory("streamcourse-quiet"),
            new Fleet.Options("nearest-fresh", Map.of(), false, CONTROLLERS, PROXIES));
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
    fleet.start();
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    fleet.close();
  }

  @Test
  public void requestsAfterIdleTimeAreServed() throws Exception {
    List<String> failed = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      requestAfterIdleTime(failed);
    }
    assertEquals(failed, List.of(), failed.toString());
  }

  /** Nodes report open transactions to each other; the receiver sends no reply to such a report. */
  @Test
  public void requestsAfterUnfinishedTransactionsAreServed() throws Exception {
    List<String> failed = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      abandonTransactions();
      requestAfterIdleTime(failed);
    }
    assertEquals(failed, List.of(), failed.toString());
  }

  private void abandonTransactions() throws Exception {
    List<Connection> open = new ArrayList<>();
    for (Fleet.ProxyHandle proxy : fleet.proxies()) {
      for (String database : fleet.profile().databases()) {
        Connection connection = Fleet.connect(proxy.callers(), database, "");
        open.add(connection);
        connection.setAutoCommit(false);
        try (Statement statement = connection.createStatement()) {
          statement.execute("SELECT 1");
        }
      }
    }
    TimeUnit.SECONDS.sleep(TRANSACTION_SECONDS);
    for (Connection connection : open) {
      connection.close();
    }
  }

  private void requestAfterIdleTime(List<String> failed) throws Exception {
    TimeUnit.SECONDS.sleep(IDLE_SECONDS);
    for (Fleet.ProxyHandle proxy : fleet.proxies()) {
      for (String database : fleet.profile().databases()) {
        execute(proxy, database, "CREATE TABLE IF NOT EXISTS quiet (id INT)", failed);
      }
    }
  }

  private static void execute(
      Fleet.ProxyHandle proxy, String database, String sql, List<String> failed) {
    try (Connection connection = Fleet.connect(proxy.callers(), database, "");
        Statement statement = connection.createStatement()) {
      statement.execute(sql);
    } catch (SQLException e) {
      failed.add(proxy.name() + '/' + database + ": " + e.getMessage());
    }
  }
}
