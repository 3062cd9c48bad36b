package org.streamcourse.lab.process;

import static org.awaitility.Awaitility.await;

import java.nio.file.Files;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import org.streamcourse.lab.relay.Relay;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against proxies that keep links which never receive data again, although new connections
 * would work: the links must be replaced, so that the proxies serve again.
 */
public class SilencedLinkTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int PROXIES = 2;

  /** Longer than the 5 s without heartbeat after which controllers remove a node. */
  private static final long REMOVAL_SECONDS = 6;

  private static final int CONTROLLERS = 3;
  private static final String DATABASE = "group1";

  private Fleet fleet;

  @BeforeClass
  public void start() throws Exception {
    Profile stations = Profile.STATIONS;
    Profile small =
        new Profile(
            "silenced",
            stations.regions(),
            List.of(DATABASE),
            stations.connections(),
            stations.slots(),
            stations.connectMillis(),
            stations.zoneMicros(),
            stations.regionMicros(),
            stations.callerMicros(),
            stations.readShare());
    fleet =
        new Fleet(
            small,
            Files.createTempDirectory("streamcourse-silenced"),
            new Fleet.Options("nearest-fresh", Map.of(), false, CONTROLLERS, PROXIES));
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
    fleet.start();
    try (Connection connection = connect();
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE silenced (id INT)");
    }
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    fleet.close();
  }

  private Connection connect() throws SQLException {
    return Fleet.connect(fleet.proxies().get(0).callers(), DATABASE, "");
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {{"link:p1->c"}, {"link:p1->p2"}, {"link:p2->p1"}};
  }

  @Test(dataProvider = "routes")
  public void aProxyReplacesUnresponsiveLinksAndServesAgain(String routes) throws Exception {
    List<Relay> relays =
        fleet.relays().entrySet().stream()
            .filter(each -> each.getKey().startsWith(routes))
            .map(Map.Entry::getValue)
            .toList();
    relays.forEach(Relay::cut);
    TimeUnit.SECONDS.sleep(1);
    relays.forEach(Relay::healNewConnectionsOnly);
    // The controllers' confirmation of the node expires; its renewal needs a new link.
    TimeUnit.SECONDS.sleep(REMOVAL_SECONDS);
    await().atMost(TIMEOUT).ignoreExceptionsInstanceOf(SQLException.class).until(this::writes);
  }

  private boolean writes() throws SQLException {
    try (Connection connection = connect();
        Statement statement = connection.createStatement()) {
      return statement.executeUpdate("INSERT INTO silenced VALUES (1)") == 1;
    }
  }
}
