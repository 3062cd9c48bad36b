package org.streamcourse.lab.soak;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;

/** Measures how long each proxy takes to serve writes to each group after the last fault. */
final class Recovery {
  /** Twice the limit of the check, so that a late recovery can be distinguished from none. */
  private static final double TIMEOUT_SECONDS = 2 * SoakCheck.RECOVERY_SECONDS;

  private static final long RETRY_MILLIS = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Changes no data, but commits only if a majority of the members receives it. */
  private static final String PROBE = "UPDATE ticker SET number = number WHERE id = 1";

  private final Fleet fleet;
  private final long sinceNanos;
  private final Map<String, Double> seconds = new ConcurrentSkipListMap<>();

  Recovery(Fleet fleet, long sinceNanos) {
    this.fleet = fleet;
    this.sinceNanos = sinceNanos;
  }

  /** Returns seconds until a write was served, by proxy and group; infinite after the timeout. */
  Map<String, Double> measure() throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (Fleet.ProxyHandle proxy : fleet.proxies()) {
      for (String database : fleet.profile().databases()) {
        Thread thread = new Thread(() -> measure(proxy, database), "recovery-" + threads.size());
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return Map.copyOf(seconds);
  }

  private void measure(Fleet.ProxyHandle proxy, String database) {
    double elapsed = elapsedSeconds();
    boolean serves = false;
    while (!serves && elapsed < TIMEOUT_SECONDS) {
      serves = serves(proxy, database);
      elapsed = elapsedSeconds();
    }
    seconds.put(proxy.name() + '/' + database, serves ? elapsed : Double.POSITIVE_INFINITY);
  }

  private double elapsedSeconds() {
    return (System.nanoTime() - sinceNanos) / NANOS_PER_SECOND;
  }

  private static boolean serves(Fleet.ProxyHandle proxy, String database) {
    try (Connection connection = Fleet.connect(proxy.callers(), database, "");
        Statement statement = connection.createStatement()) {
      statement.executeUpdate(PROBE);
      return true;
    } catch (SQLException e) {
      // The probe is repeated; the processes' logs contain the cause.
      pause();
      return false;
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
