package org.streamcourse.lab.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.r2dbc.postgresql.PostgresqlConnectionConfiguration;
import io.r2dbc.postgresql.PostgresqlConnectionFactory;
import io.r2dbc.postgresql.api.PostgresqlConnection;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.process.settings.HostPort;
import org.testng.SkipException;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Common PostgreSQL clients work through a proxy. */
public class DriverTest {
  private static final int MEGABYTE = 1_000_000;
  private static final int ROWS = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(120);

  private HostPort proxy;

  @BeforeClass
  public void createTable() throws Exception {
    proxy = SharedFleet.anyProxy();
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE IF NOT EXISTS shows (id INT PRIMARY KEY, title VARCHAR)");
      statement.execute(
          "CREATE TABLE IF NOT EXISTS streamcourse_requests ("
              + "request_key VARCHAR(128) PRIMARY KEY,"
              + " ran_at TIMESTAMP DEFAULT CURRENT_TIMESTAMP)");
    }
  }

  @Test
  public void preparedStatementsAreReused() throws Exception {
    try (Connection connection = SharedFleet.connect();
        PreparedStatement insert = connection.prepareStatement("INSERT INTO shows VALUES (?, ?)");
        PreparedStatement select =
            connection.prepareStatement("SELECT title FROM shows WHERE id = ?")) {
      // pgjdbc switches to named statements after five uses.
      for (int id = 0; id < 12; id++) {
        insert.setInt(1, id);
        insert.setString(2, "show " + id);
        assertEquals(insert.executeUpdate(), 1);
        select.setInt(1, id);
        try (ResultSet rows = select.executeQuery()) {
          assertTrue(rows.next(), "a session reads its own write");
          assertEquals(rows.getString(1), "show " + id);
        }
      }
    }
  }

  @Test
  public void batchesRunCompletely() throws Exception {
    try (Connection connection = SharedFleet.connect();
        PreparedStatement insert =
            connection.prepareStatement("INSERT INTO shows VALUES (?, 'batch')")) {
      connection.setAutoCommit(false);
      for (int id = 1_000; id < 1_200; id++) {
        insert.setInt(1, id);
        insert.addBatch();
      }
      assertEquals(insert.executeBatch().length, 200);
      connection.commit();
      assertEquals(count(connection, "title = 'batch'"), 200);
    }
  }

  private static int count(Connection connection, String condition) throws SQLException {
    try (Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("SELECT count(*) FROM shows WHERE " + condition)) {
      rows.next();
      return rows.getInt(1);
    }
  }

  /** pgjdbc and r2dbc-postgresql send SET in the extended protocol, psql in the simple protocol. */
  @Test
  public void sessionParametersAreSetInTheExtendedProtocol() throws Exception {
    try (Connection connection = SharedFleet.connect();
        PreparedStatement set =
            connection.prepareStatement("SET streamcourse.max_staleness_ms = 777");
        PreparedStatement show =
            connection.prepareStatement("SHOW streamcourse.max_staleness_ms")) {
      for (int i = 0; i < 8; i++) {
        set.execute();
        try (ResultSet rows = show.executeQuery()) {
          assertTrue(rows.next());
          assertEquals(rows.getString(1), "777");
        }
      }
    }
  }

  @Test
  public void namedRequestRunsOnceThroughAnyProxy() throws Exception {
    String name = "SET streamcourse.request_key = 'royalty 7'";
    String insert = "INSERT INTO shows VALUES (7000, 'named')";
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      statement.execute(name);
      assertEquals(statement.executeUpdate(insert), 1);
    }
    for (HostPort other : SharedFleet.proxies()) {
      try (Connection connection = Fleet.connect(other, SharedFleet.database(), "");
          PreparedStatement resent = connection.prepareStatement(insert);
          Statement statement = connection.createStatement()) {
        statement.execute(name);
        SQLException again = expectThrows(SQLException.class, resent::executeUpdate);
        assertEquals(again.getSQLState(), "SC001", again.getMessage());
        assertEquals(count(connection, "id = 7000"), 1, "the session sees the first run's write");
      }
    }
  }

  @Test
  public void nameOfAFailedRequestCanBeReused() throws Exception {
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      statement.execute("SET streamcourse.request_key = 'fails first'");
      expectThrows(SQLException.class, () -> statement.execute("INSERT INTO nowhere VALUES (1)"));
      statement.execute("SET streamcourse.request_key = 'fails first'");
      assertEquals(statement.executeUpdate("INSERT INTO shows VALUES (7001, 'second try')"), 1);
      statement.execute("SET streamcourse.request_key = 'session state'");
      SQLException refused =
          expectThrows(SQLException.class, () -> statement.execute("CREATE TEMP TABLE t (id INT)"));
      assertEquals(refused.getSQLState(), "0A000");
      SQLException empty =
          expectThrows(
              SQLException.class, () -> statement.execute("SET streamcourse.request_key = ''"));
      assertEquals(empty.getSQLState(), "42601");
    }
  }

  @Test
  public void errorsKeepTheirSqlStateAndTheConnection() throws Exception {
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      statement.execute("INSERT INTO shows VALUES (2000, 'first')");
      SQLException duplicate =
          expectThrows(
              SQLException.class,
              () -> statement.execute("INSERT INTO shows VALUES (2000, 'second')"));
      assertEquals(duplicate.getSQLState(), "23505");
      SQLException missing =
          expectThrows(SQLException.class, () -> statement.execute("SELECT * FROM nowhere"));
      assertEquals(missing.getSQLState(), "42P01");
      assertEquals(count(connection, "id = 2000"), 1);
    }
  }

  @Test
  public void rolledBackTransactionsLeaveNoRows() throws Exception {
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.execute("INSERT INTO shows VALUES (3000, 'gone')");
      assertEquals(count(connection, "id = 3000"), 1, "seen within the transaction");
      connection.rollback();
      connection.setAutoCommit(true);
      assertEquals(count(connection, "id = 3000"), 0);
    }
  }

  @Test
  public void cancelEndsALongStatement() throws Exception {
    try (Connection connection = SharedFleet.connect();
        Statement statement = connection.createStatement()) {
      CompletableFuture<Void> canceller =
          CompletableFuture.runAsync(
              () -> {
                try {
                  statement.cancel();
                } catch (SQLException e) {
                  throw new IllegalStateException(e);
                }
              },
              CompletableFuture.delayedExecutor(1, TimeUnit.SECONDS));
      SQLException cancelled =
          expectThrows(
              SQLException.class,
              () ->
                  statement.execute(
                      "SELECT count(*) FROM SYSTEM_RANGE(1, 1000000) a, SYSTEM_RANGE(1, 1000000) b WHERE a.\"X\" + b.\"X\" < 0"));
      assertEquals(cancelled.getSQLState(), "57014");
      canceller.get();
      assertTrue(statement.execute("SELECT 1"), "the connection remains usable");
    }
  }

  /** Three results of 100 MB each, read slowly, exceed the proxy's heap of 256 MB. */
  @Test
  public void slowReadersOfLargeResultsDoNotExhaustTheHeap() {
    Flux<Long> results = Flux.range(0, 3).flatMap(any -> readSlowly());
    List<Long> bytes = results.collectList().block(TIMEOUT);
    assertEquals(bytes, List.of(100L * MEGABYTE, 100L * MEGABYTE, 100L * MEGABYTE));
    assertTrue(processIsAlive());
  }

  private Mono<Long> readSlowly() {
    return Mono.usingWhen(
        r2dbc(),
        connection ->
            connection
                .createStatement(
                    "SELECT repeat('x', " + MEGABYTE + ") FROM SYSTEM_RANGE(1, " + ROWS + ")")
                .execute()
                .flatMap(result -> result.map((row, metadata) -> row.get(0, String.class)))
                .limitRate(1)
                .concatMap(
                    text -> Mono.just((long) text.length()).delayElement(Duration.ofMillis(20)), 1)
                .reduce(0L, Long::sum),
        PostgresqlConnection::close);
  }

  private Mono<PostgresqlConnection> r2dbc() {
    PostgresqlConnectionConfiguration configuration =
        PostgresqlConnectionConfiguration.builder()
            .host(proxy.host())
            .port(proxy.port())
            .username(Fleet.USER)
            .password(Fleet.PASSWORD)
            .database(SharedFleet.database())
            .build();
    return new PostgresqlConnectionFactory(configuration).create();
  }

  private static boolean processIsAlive() {
    try {
      return SharedFleet.get().proxies().get(0).process().isAlive();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  public void r2dbcPreparesAndCommits() {
    Long seen =
        Mono.usingWhen(
                r2dbc(),
                connection ->
                    connection
                        .beginTransaction()
                        .thenMany(
                            connection
                                .createStatement("INSERT INTO shows VALUES ($1, $2)")
                                .bind(0, 4_000)
                                .bind(1, "reactive")
                                .execute()
                                .flatMap(result -> result.getRowsUpdated()))
                        .then(Mono.from(connection.commitTransaction()))
                        .thenMany(
                            connection
                                .createStatement("SELECT count(*) FROM shows WHERE id = $1")
                                .bind(0, 4_000)
                                .execute()
                                .flatMap(
                                    result -> result.map((row, any) -> row.get(0, Long.class))))
                        .next(),
                PostgresqlConnection::close)
            .block(TIMEOUT);
    assertEquals(seen, Long.valueOf(1));
  }

  @Test
  public void psqlWorksWhereItIsInstalled() throws Exception {
    if (!Files.isExecutable(Path.of("/usr/bin/psql"))) {
      throw new SkipException("psql is not installed");
    }
    ProcessBuilder builder =
        new ProcessBuilder(
            "/usr/bin/psql",
            "-h",
            proxy.host(),
            "-p",
            Integer.toString(proxy.port()),
            "-U",
            Fleet.USER,
            "-d",
            SharedFleet.database(),
            "-Atc",
            "SELECT 40 + 2");
    builder.environment().put("PGPASSWORD", Fleet.PASSWORD);
    builder.redirectErrorStream(true);
    Process psql = builder.start();
    String output = new String(psql.getInputStream().readAllBytes()).strip();
    assertEquals(psql.waitFor(), 0, output);
    assertEquals(output, "42");
    assertFalse(output.isEmpty());
  }
}
