package org.streamcourse.lab.workload;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.workload.Caller.Behavior;
import org.streamcourse.process.settings.HostPort;

/** The callers of a run, spread over databases and proxies, and a ticker for each database. */
public final class Callers {
  private static final long TICK_MILLIS = 50;
  private static final long JOIN_MILLIS = 40_000;

  /** A ticker and where its updates go. */
  private record Ticking(Ticker ticker, List<HostPort> addresses) {}

  private final Journal journal = new Journal();
  private final Map<String, Ticking> tickers = new TreeMap<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private Callers() {
    // Built by the methods below.
  }

  /**
   * Creates the tables and prepares callers.
   *
   * @param fleet fleet that serves them
   * @param perDatabase callers of each database
   * @param readShare share of reads
   * @param pauseMillis pause of a caller between requests
   * @param roamEvery requests after which a caller goes to the next proxy, 0 for never
   * @param maxStalenessMillis oldest answer that callers accept
   * @param seed seed of their choices
   * @return callers, not yet started
   * @throws SQLException when the tables can't be created
   */
  public static Callers prepare(
      Fleet fleet,
      int perDatabase,
      double readShare,
      long pauseMillis,
      int roamEvery,
      long maxStalenessMillis,
      long seed)
      throws SQLException {
    List<HostPort> addresses = fleet.proxies().stream().map(Fleet.ProxyHandle::callers).toList();
    Callers all = new Callers();
    Behavior behavior = new Behavior(readShare, pauseMillis, roamEvery, maxStalenessMillis, false);
    for (String database : fleet.profile().databases()) {
      try (Connection connection = Fleet.connect(addresses.get(0), database, "")) {
        Caller.createTables(connection);
      }
      all.add(database, addresses, perDatabase, behavior, seed);
    }
    return all;
  }

  /**
   * Prepares callers that talk to the primaries themselves, without a pause, on tables that {@link
   * #prepare} has created.
   *
   * @param fleet fleet whose members they call
   * @param perDatabase callers of each database
   * @param readShare share of reads
   * @param maxStalenessMillis oldest answer that callers accept
   * @param seed seed of their choices
   * @return callers, not yet started
   * @throws SQLException when the controllers don't tell the primaries
   */
  public static Callers prepareDirect(
      Fleet fleet, int perDatabase, double readShare, long maxStalenessMillis, long seed)
      throws SQLException {
    Callers all = new Callers();
    Behavior behavior = new Behavior(readShare, 0, 0, maxStalenessMillis, false);
    for (String database : fleet.profile().databases()) {
      all.add(database, List.of(fleet.primary(database).sql()), perDatabase, behavior, seed);
    }
    return all;
  }

  /**
   * Adds one caller for each database that books without a pause, so that a time without
   * acknowledgments is seen to within the duration of one write.
   *
   * @param maxStalenessMillis oldest answer that they accept
   * @param seed seed of their choices
   */
  public void addWriters(long maxStalenessMillis, long seed) {
    addToEach(1, new Behavior(0, 0, 0, maxStalenessMillis, false), seed);
  }

  /**
   * Adds callers that keep an open connection until it is closed, also while its proxy is told to
   * stop or refuses, and only then go to the next proxy.
   *
   * @param perDatabase callers of each database
   * @param readShare share of reads
   * @param pauseMillis pause of a caller between requests
   * @param maxStalenessMillis oldest answer that they accept
   * @param seed seed of their choices
   */
  public void addStaying(
      int perDatabase, double readShare, long pauseMillis, long maxStalenessMillis, long seed) {
    addToEach(perDatabase, new Behavior(readShare, pauseMillis, 0, maxStalenessMillis, true), seed);
  }

  private void addToEach(int perDatabase, Behavior behavior, long seed) {
    tickers.forEach((database, ticking) -> add(database, ticking, perDatabase, behavior, seed));
  }

  private void add(
      String database, List<HostPort> addresses, int count, Behavior behavior, long seed) {
    Ticking ticking = new Ticking(new Ticker(), addresses);
    tickers.put(database, ticking);
    add(database, ticking, count, behavior, seed);
  }

  private void add(String database, Ticking ticking, int count, Behavior behavior, long seed) {
    for (int i = 0; i < count; i++) {
      callers.add(
          new Caller(
              callers.size(),
              database,
              ticking.addresses(),
              behavior,
              journal,
              ticking.ticker(),
              seed));
    }
  }

  /** Starts all callers and tickers. */
  public void start() {
    callers.forEach(this::startThread);
    tickers.forEach((database, ticker) -> startThread(() -> tick(database, ticker)));
  }

  private void startThread(Runnable task) {
    Thread thread = new Thread(task, "caller-" + threads.size());
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  /** Stops all callers and waits for their last answers. */
  public void stop() {
    stopped = true;
    callers.forEach(Caller::stop);
    for (Thread thread : threads) {
      try {
        thread.join(JOIN_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Returns what the callers noted.
   *
   * @return journal
   */
  public Journal journal() {
    return journal;
  }

  /**
   * Counts up in a database; a number of unknown outcome is written again, which changes nothing.
   */
  private void tick(String database, Ticking ticking) {
    List<HostPort> addresses = ticking.addresses();
    int proxy = 0;
    while (!stopped) {
      try (Connection connection =
          Fleet.connect(addresses.get(proxy % addresses.size()), database, "")) {
        while (!stopped) {
          tickOnce(connection, ticking.ticker());
          TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
        }
      } catch (SQLException e) {
        proxy++;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void tickOnce(Connection connection, Ticker ticker) throws SQLException {
    try (PreparedStatement update =
        connection.prepareStatement("UPDATE ticker SET number = ? WHERE id = 1")) {
      update.setInt(1, ticker.next());
      update.executeUpdate();
      ticker.acknowledged(System.nanoTime());
    }
  }
}
