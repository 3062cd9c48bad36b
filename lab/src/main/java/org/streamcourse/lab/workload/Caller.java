package org.streamcourse.lab.workload;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.postgresql.PGConnection;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.request.edge.FloorToken;
import org.streamcourse.version.image.TermPosition;

/**
 * One caller: inserts and reads bookings in one database through one proxy after another, sends its
 * floor at each login, and records the responses in the journal. A booking whose insert failed is
 * not sent again; the next insert has a new id.
 */
final class Caller implements Runnable {
  /**
   * Behavior of a caller.
   *
   * @param readShare share of reads
   * @param pauseMillis pause between requests
   * @param roamEvery requests after which the caller connects to the next proxy, 0 for never
   * @param maxStalenessMillis staleness limit of the caller's reads
   * @param keepsConnection whether the caller continues on a connection that is still open after an
   *     error, and connects to the next proxy only once the connection is closed
   */
  record Behavior(
      double readShare,
      long pauseMillis,
      int roamEvery,
      long maxStalenessMillis,
      boolean keepsConnection) {}

  private static final int BOOKING_SLOTS = 50;
  private static final long RECONNECT_MILLIS = 50;
  private static final String FLOOR = "streamcourse.floor";

  /** Proxies end the detail of each request's error with the request's id. */
  private static final Pattern REQUEST = Pattern.compile(", request (\\S+)");

  private final int number;
  private final String database;
  private final List<HostPort> proxies;
  private final Behavior behavior;
  private final Journal journal;
  private final Ticker ticker;
  private final UniformRandomProvider random;
  private volatile boolean stopped;
  private Connection connection;
  private int proxyIndex;
  private int requests;
  private String floorToken = "";
  private String lastBooked = "";

  Caller(
      int number,
      String database,
      List<HostPort> proxies,
      Behavior behavior,
      Journal journal,
      Ticker ticker,
      long seed) {
    this.number = number;
    this.database = database;
    this.proxies = proxies;
    this.behavior = behavior;
    this.journal = journal;
    this.ticker = ticker;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + number);
    this.proxyIndex = number % proxies.size();
  }

  void stop() {
    stopped = true;
  }

  /** Creates the tables of a database. */
  static void createTables(Connection connection) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      statement.execute(
          "CREATE TABLE IF NOT EXISTS bookings (id VARCHAR(64), slot INT, caller INT)");
      statement.execute("CREATE INDEX IF NOT EXISTS bookings_id ON bookings (id)");
      statement.execute("CREATE INDEX IF NOT EXISTS bookings_slot ON bookings (slot)");
      statement.execute("CREATE TABLE IF NOT EXISTS ticker (id INT PRIMARY KEY, number INT)");
      statement.execute("INSERT INTO ticker VALUES (1, 0)");
    }
  }

  @Override
  public void run() {
    while (!stopped) {
      try {
        if (connection == null) {
          connect();
        }
        request();
        pause(behavior.pauseMillis());
      } catch (SQLException e) {
        journal.error(String.valueOf(e.getSQLState()), e.getMessage());
        recordFailedRequest(e);
        if (!behavior.keepsConnection() || isClosed()) {
          disconnect();
        }
        pause(RECONNECT_MILLIS);
      }
    }
    disconnect();
  }

  private void recordFailedRequest(SQLException e) {
    Matcher id = REQUEST.matcher(String.valueOf(e.getMessage()));
    if (id.find()) {
      journal.requestFailed(id.group(1), e.getSQLState(), e.getMessage());
    }
  }

  private void pause(long millis) {
    try {
      if (millis > 0) {
        TimeUnit.MILLISECONDS.sleep(millis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }

  private void connect() throws SQLException {
    proxyIndex = (proxyIndex + 1) % proxies.size();
    connection = Fleet.connect(proxies.get(proxyIndex), database, floorToken);
    try (Statement statement = connection.createStatement()) {
      statement.execute("SET streamcourse.max_staleness_ms = " + behavior.maxStalenessMillis());
    } catch (SQLException e) {
      // Without the setting, reads could be staler than this caller's limit.
      disconnect();
      throw e;
    }
  }

  private void disconnect() {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (SQLException e) {
      // The connection is discarded in any case.
    }
    connection = null;
  }

  /** The driver closes a connection at end of stream and when a reply times out. */
  private boolean isClosed() {
    try {
      return connection == null || connection.isClosed();
    } catch (SQLException e) {
      return true;
    }
  }

  private void request() throws SQLException {
    requests++;
    if (behavior.roamEvery() > 0 && requests % behavior.roamEvery() == 0) {
      disconnect();
      connect();
    }
    if (random.nextDouble() < behavior.readShare()) {
      read();
    } else {
      book();
    }
  }

  // ---- writes ----

  private void book() throws SQLException {
    String id = database + "-" + number + "-" + requests;
    long start = System.nanoTime();
    try (PreparedStatement insert =
        connection.prepareStatement("INSERT INTO bookings (id, slot, caller) VALUES (?, ?, ?)")) {
      insert.setString(1, id);
      insert.setInt(2, random.nextInt(BOOKING_SLOTS));
      insert.setInt(3, number);
      insert.executeUpdate();
      long end = System.nanoTime();
      lastBooked = id;
      rememberFloor();
      journal.acknowledged(id, database, start, end, floor());
    } catch (SQLException e) {
      journal.notAcknowledged(id, outcomeOf(e), start, System.nanoTime());
      throw e;
    }
  }

  /** Derives the outcome of a write from its error; only the proxies' messages say "not run". */
  static WriteOutcome outcomeOf(SQLException e) {
    String state = String.valueOf(e.getSQLState());
    String text = String.valueOf(e.getMessage());
    if (state.equals("57P03") || state.equals("53300") || text.contains("not run")) {
      return WriteOutcome.NOT_RUN;
    }
    boolean broken = state.startsWith("08") || state.startsWith("57P");
    return broken ? WriteOutcome.UNKNOWN : WriteOutcome.FAILED;
  }

  private void rememberFloor() throws SQLException {
    String token = connection.unwrap(PGConnection.class).getParameterStatus(FLOOR);
    floorToken = token == null ? floorToken : token;
  }

  // ---- reads ----

  private void read() throws SQLException {
    long start = System.nanoTime();
    try {
      if (lastBooked.isEmpty() || random.nextBoolean()) {
        readTicker(start);
      } else {
        readOwnBooking(start);
      }
    } catch (SQLException e) {
      journal.readFailed();
      throw e;
    }
  }

  private void readOwnBooking(long start) throws SQLException {
    try (PreparedStatement select =
        connection.prepareStatement("SELECT count(*) FROM bookings WHERE id = ?")) {
      select.setString(1, lastBooked);
      try (ResultSet rows = select.executeQuery()) {
        rows.next();
        journal.ownRead(lastBooked, rows.getInt(1));
        if (rows.getInt(1) == 0) {
          journal.staleRead("booking " + lastBooked + " was not seen by its own session");
        }
      }
    }
    journal.read(database, start, System.nanoTime(), floor());
  }

  private void readTicker(long start) throws SQLException {
    int seen;
    try (PreparedStatement select =
        connection.prepareStatement("SELECT number FROM ticker WHERE id = ?")) {
      select.setInt(1, 1);
      try (ResultSet rows = select.executeQuery()) {
        seen = rows.next() ? rows.getInt(1) : 0;
      }
    }
    long staleness = TimeUnit.NANOSECONDS.toMillis(ticker.stalenessNanos(seen, start));
    journal.agedRead(database, staleness, behavior.maxStalenessMillis());
    if (staleness > behavior.maxStalenessMillis()) {
      journal.staleRead(database + " returned data " + staleness + " ms old");
    }
    journal.read(database, start, System.nanoTime(), floor());
  }

  private TermPosition floor() {
    if (floorToken.isEmpty()) {
      return TermPosition.ZERO;
    }
    try {
      return FloorToken.read(new FleetKey(Fleet.FLEET_KEY), database, floorToken);
    } catch (StreamcourseException e) {
      return TermPosition.ZERO;
    }
  }
}
