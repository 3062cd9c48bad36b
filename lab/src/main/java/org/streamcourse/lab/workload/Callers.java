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

/** The callers of a run, spread over databases and proxies, and one ticker for each database. */
public final class Callers {
  private static final long TICK_MILLIS = 50;
  private static final long JOIN_MILLIS = 40_000;

  /** A ticker with the addresses that receive its updates. */
  private record TickerTarget(Ticker ticker, List<HostPort> addresses) {}

  private final Journal journal = new Journal();
  private final Map<String, TickerTarget> tickers = new TreeMap<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private Callers() {
    // Instances are created by the prepare methods.
  }

  /**
   * Creates the tables and prepares callers.
   *
   * @param fleet fleet that serves the callers
   * @param perDatabase callers of each database
   * @param readShare share of reads
   * @param pauseMillis pause of a caller between requests
   * @param roamEvery requests after which a caller connects to the next proxy, 0 for never
   * @param maxStalenessMillis staleness limit of the callers' reads
   * @param seed seed of the callers' choices
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
   * Prepares callers that connect directly to the primaries and do not pause between requests. The
   * tables must exist, see {@link #prepare}.
   *
   * @param fleet fleet whose primaries the callers use
   * @param perDatabase callers of each database
   * @param readShare share of reads
   * @param maxStalenessMillis staleness limit of the callers' reads
   * @param seed seed of the callers' choices
   * @return callers, not yet started
   * @throws SQLException when no controller reports the primaries
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
   * Adds one caller for each database that only writes and does not pause, so that a time without
   * acknowledgments is measured to within the duration of one write.
   *
   * @param maxStalenessMillis staleness limit of the callers' reads
   * @param seed seed of the callers' choices
   */
  public void addWriters(long maxStalenessMillis, long seed) {
    addToEach(1, new Behavior(0, 0, 0, maxStalenessMillis, false), seed);
  }

  /**
   * Adds callers that keep a connection until it is closed, also while its proxy drains or refuses
   * requests, and only then connect to the next proxy.
   *
   * @param perDatabase callers of each database
   * @param readShare share of reads
   * @param pauseMillis pause of a caller between requests
   * @param maxStalenessMillis staleness limit of the callers' reads
   * @param seed seed of the callers' choices
   */
  public void addPersistent(
      int perDatabase, double readShare, long pauseMillis, long maxStalenessMillis, long seed) {
    addToEach(perDatabase, new Behavior(readShare, pauseMillis, 0, maxStalenessMillis, true), seed);
  }

  private void addToEach(int perDatabase, Behavior behavior, long seed) {
    tickers.forEach((database, target) -> add(database, target, perDatabase, behavior, seed));
  }

  private void add(
      String database, List<HostPort> addresses, int count, Behavior behavior, long seed) {
    TickerTarget target = new TickerTarget(new Ticker(), addresses);
    tickers.put(database, target);
    add(database, target, count, behavior, seed);
  }

  private void add(String database, TickerTarget target, int count, Behavior behavior, long seed) {
    for (int i = 0; i < count; i++) {
      callers.add(
          new Caller(
              callers.size(),
              database,
              target.addresses(),
              behavior,
              journal,
              target.ticker(),
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

  /** Stops all callers and waits for the replies to their last requests. */
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
   * Returns the journal in which the callers record responses.
   *
   * @return journal
   */
  public Journal journal() {
    return journal;
  }

  /**
   * Increments the counter in a database. A number whose write has an unknown outcome is written
   * again, which is idempotent.
   */
  private void tick(String database, TickerTarget target) {
    List<HostPort> addresses = target.addresses();
    int proxy = 0;
    while (!stopped) {
      try (Connection connection =
          Fleet.connect(addresses.get(proxy % addresses.size()), database, "")) {
        while (!stopped) {
          tickOnce(connection, target.ticker());
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
