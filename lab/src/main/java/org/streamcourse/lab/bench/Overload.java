package org.streamcourse.lab.bench;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.streamcourse.lab.fleet.Fleet;

/**
 * Measures the highest throughput of a primary, and its throughput under twice that load. Overload
 * is an open-loop load: requests are sent at fixed times, whether earlier requests were answered or
 * not, from more connections than requests can wait at the proxy.
 */
final class Overload {
  /** Results that callers of one user observed in one phase. */
  static final class Phase {
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong skipped = new AtomicLong();
    private final Histogram servedMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    private final Histogram refusedMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);

    double servedPerSecond() {
      return served.get() / (double) SECONDS;
    }

    long refused() {
      return refused.get();
    }

    /** Requests that were neither served nor refused with an error that says "not run". */
    long failed() {
      return failed.get();
    }

    /** Requests not sent at their scheduled time because their connection was still in use. */
    long skipped() {
      return skipped.get();
    }

    Histogram servedMicros() {
      return servedMicros;
    }

    Histogram refusedMicros() {
      return refusedMicros;
    }
  }

  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;
  private static final int SECONDS = 8;
  private static final int WORK_MILLIS = 20;
  private static final String WORK_SQL = "SELECT pg_sleep(" + WORK_MILLIS / 1_000.0 + ")";
  private static final int BUSY_CALLERS_PER_SLOT = 3;
  private static final int OVERLOAD_CONNECTIONS = 400;
  private static final int OVERLOAD_FACTOR = 2;
  private static final int OTHER_CONNECTIONS = 12;
  private static final double OTHER_PER_SECOND = 24;

  private final Fleet fleet;
  private final String database;

  Overload(Fleet fleet) {
    this.fleet = fleet;
    this.database = fleet.profile().databases().get(0);
  }

  /** Closed-loop load from enough callers to occupy all slots of the primary. */
  Phase measureHighest() throws InterruptedException {
    return run(BUSY_CALLERS_PER_SLOT * fleet.profile().slots());
  }

  /** Results of the overloading user and of the other user in the same phase. */
  record Shared(Phase overloading, Phase other) {}

  /**
   * Sends twice the highest throughput as one user, and few requests as another user meanwhile.
   *
   * @param highestPerSecond requests served in a second by {@link #measureHighest()}
   */
  Shared measureOverload(double highestPerSecond) throws InterruptedException {
    long start = System.nanoTime() + TimeUnit.SECONDS.toNanos(1 + OVERLOAD_CONNECTIONS / 100);
    Phase overloading = new Phase();
    Phase other = new Phase();
    List<Thread> threads = new ArrayList<>();
    double perSecond = OVERLOAD_FACTOR * highestPerSecond;
    threads.addAll(startLoad(Fleet.USER, overloading, OVERLOAD_CONNECTIONS, perSecond, start));
    threads.addAll(startLoad(Fleet.OTHER_USER, other, OTHER_CONNECTIONS, OTHER_PER_SECOND, start));
    join(threads);
    return new Shared(overloading, other);
  }

  private Phase run(int connections) throws InterruptedException {
    Phase phase = new Phase();
    long start = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    join(startLoad(Fleet.USER, phase, connections, 0, start));
    return phase;
  }

  private static void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private List<Thread> startLoad(
      String user, Phase phase, int connections, double perSecond, long start) {
    long intervalNanos = perSecond == 0 ? 0 : (long) (connections * 1e9 / perSecond);
    long end = start + TimeUnit.SECONDS.toNanos(SECONDS);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      long first = start + intervalNanos * i / connections;
      int proxy = i % fleet.proxies().size();
      Thread thread =
          new Thread(() -> sendLoad(user, proxy, phase, first, intervalNanos, end), "load-" + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
    return threads;
  }

  private void sendLoad(
      String user, int proxy, Phase phase, long first, long intervalNanos, long end) {
    try (Connection connection =
            Fleet.connect(fleet.proxies().get(proxy).callers(), database, user, "");
        Statement statement = connection.createStatement()) {
      long next = first;
      while (next < end) {
        TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
        sendRequest(statement, phase);
        next = intervalNanos == 0 ? System.nanoTime() : nextSendTime(next, intervalNanos, phase);
      }
    } catch (SQLException e) {
      phase.failed.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Next scheduled send time in the future; counts those that have passed as skipped. */
  private static long nextSendTime(long sentAt, long intervalNanos, Phase phase) {
    long next = sentAt + intervalNanos;
    while (next < System.nanoTime()) {
      phase.skipped.incrementAndGet();
      next += intervalNanos;
    }
    return next;
  }

  private static void sendRequest(Statement statement, Phase phase) {
    long start = System.nanoTime();
    try {
      statement.execute(WORK_SQL);
      phase.servedMicros.recordValue(microsSince(start));
      phase.served.incrementAndGet();
    } catch (SQLException e) {
      if (String.valueOf(e.getMessage()).contains("not run")) {
        phase.refusedMicros.recordValue(microsSince(start));
        phase.refused.incrementAndGet();
      } else {
        phase.failed.incrementAndGet();
      }
    }
  }

  private static long microsSince(long nanos) {
    return Math.min(MAX_MICROS, (System.nanoTime() - nanos) / 1_000);
  }
}
