package org.streamcourse.lab.workload;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import picocli.CommandLine.Command;

/** Demonstrates within a minute what the fleet does when a primary is killed under load. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = "Starts a fleet, runs callers, kills a primary, and checks the responses.")
public final class DemoCommand implements Callable<Integer> {
  private static final int CALLERS_PER_DATABASE = 8;
  private static final long PAUSE_MILLIS = 10;
  private static final int ROAM_EVERY = 40;
  private static final long MAX_STALENESS_MILLIS = 1_000;
  private static final long SEED = 1;
  private static final long SECONDS_BEFORE = 6;
  private static final long SECONDS_AFTER = 10;
  private static final double MAX_GAP_SECONDS = 6;

  @Override
  public Integer call() throws Exception {
    Path folder = Files.createTempDirectory("streamcourse-demo");
    print(
        "Starting 3 controllers, 6 proxies and 3 databases with 3 members each (logs in %s).",
        folder);
    long started = System.nanoTime();
    try (Fleet fleet = new Fleet(Profile.STATIONS, folder, Fleet.Options.DEFAULT)) {
      fleet.start();
      print("The fleet is ready after %.1f s.", secondsSince(started));
      return run(fleet);
    }
  }

  private static int run(Fleet fleet) throws Exception {
    Callers callers =
        Callers.prepare(
            fleet,
            CALLERS_PER_DATABASE,
            fleet.profile().readShare(),
            PAUSE_MILLIS,
            ROAM_EVERY,
            MAX_STALENESS_MILLIS,
            SEED);
    callers.start();
    print(
        "%d callers book and read; each connects to the next proxy after %d requests.",
        CALLERS_PER_DATABASE * fleet.profile().databases().size(), ROAM_EVERY);
    TimeUnit.SECONDS.sleep(SECONDS_BEFORE);

    String database = fleet.profile().databases().get(0);
    Fleet.MemberHandle primary = fleet.primary(database);
    print(
        "Primary of '%s' is %s in %s. Killing it now.",
        database, primary.member(), primary.placement().region());
    long killedAt = System.nanoTime();
    primary.process().kill();
    TimeUnit.SECONDS.sleep(SECONDS_AFTER);
    Fleet.MemberHandle next = fleet.primary(database);
    print(
        "Primary of '%s' is now %s in %s. The old one starts again.",
        database, next.member(), next.placement().region());
    primary.process().start();
    TimeUnit.SECONDS.sleep(2);
    callers.stop();
    return report(fleet, callers.journal(), database, killedAt);
  }

  private static int report(Fleet fleet, Journal journal, String database, long killedAt)
      throws Exception {
    double gap = FailoverGap.seconds(journal.acknowledged(), database, killedAt);
    print("Gap: the first booking in '%s' was acknowledged %.2f s after the kill.", database, gap);
    long replica = ProxyCounters.sum(fleet, ProxyCounters.REPLICA_READS);
    long primaryReads = ProxyCounters.sum(fleet, ProxyCounters.PRIMARY_READS);
    print(
        "Reads: %d by replicas, %d by primaries (%.1f %% by replicas).",
        replica, primaryReads, 100.0 * replica / Math.max(1, replica + primaryReads));
    print(
        "Bookings: %d acknowledged, %d refused as not run, %d of unknown outcome, %d failed.",
        journal.count(WriteOutcome.ACKNOWLEDGED),
        journal.count(WriteOutcome.NOT_RUN),
        journal.count(WriteOutcome.UNKNOWN),
        journal.count(WriteOutcome.FAILED));
    journal.errors().entrySet().stream()
        .sorted(Comparator.comparing(each -> each.getKey()))
        .forEach(each -> print("  callers saw %d x %s", each.getValue().get(), each.getKey()));
    Verification result = Verification.of(fleet, journal);
    boolean held = true;
    held &= check("every acknowledged booking is there", result.lostWrites() == 0);
    held &= check("no booking is there twice", result.duplicateWrites() == 0);
    held &= check("no booking that was 'not run' is there", result.falseNotRun() == 0);
    held &=
        check(
            "no session missed its own booking or read beyond its limit",
            journal.staleReads() == 0);
    held &= check("bookings went on within " + MAX_GAP_SECONDS + " s", gap < MAX_GAP_SECONDS);
    held &= check("replicas served reads", replica > 0);
    journal.violations().stream().limit(5).forEach(each -> print("  %s", each));
    print(held ? "All checks held." : "A check failed.");
    return held ? 0 : 1;
  }

  private static boolean check(String what, boolean holds) {
    print("[%s] %s", holds ? "ok" : "FAILED", what);
    return holds;
  }

  private static double secondsSince(long nanos) {
    return (System.nanoTime() - nanos) / 1e9;
  }

  private static void print(String format, Object... values) {
    System.out.printf(java.util.Locale.ROOT, format + "%n", values);
  }
}
