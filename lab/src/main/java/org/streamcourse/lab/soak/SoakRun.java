package org.streamcourse.lab.soak;

import java.sql.SQLException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import org.streamcourse.lab.workload.Callers;
import org.streamcourse.lab.workload.Journal;
import org.streamcourse.lab.workload.Verification;

/**
 * One run: starts a fleet of real processes and callers, injects the planned faults, measures
 * recovery, and collects the history for the checks. Half of the callers change proxies regularly;
 * the others keep each connection until it is closed.
 */
final class SoakRun implements AutoCloseable {
  private static final int ROAMING_PER_DATABASE = 4;
  private static final int PERSISTENT_PER_DATABASE = 4;
  private static final double READ_SHARE = 0.7;
  private static final long PAUSE_MILLIS = 15;
  private static final int ROAM_EVERY_REQUESTS = 25;
  private static final long MAX_STALENESS_MILLIS = 1_500;
  private static final long ADMIN_ATTEMPTS = 100;
  private static final long ADMIN_PAUSE_MILLIS = 200;

  private final SoakSettings settings;
  private final Progress progress;
  private final Fleet fleet;

  SoakRun(SoakSettings settings, Progress progress) throws Exception {
    this.settings = settings;
    this.progress = progress;
    Fleet.Options options =
        new Fleet.Options(
            Fleet.Options.DEFAULT.readPolicy(),
            Map.of(),
            true,
            settings.controllers(),
            settings.edges());
    fleet = new Fleet(profile(settings.groups()), settings.folder(), options);
    // Proxies log failed requests at INFO.
    fleet.processes().forEach(each -> each.setLogLevel("INFO"));
  }

  private static Profile profile(int groups) {
    Profile stations = Profile.STATIONS;
    List<String> databases =
        IntStream.rangeClosed(1, groups).mapToObj(number -> "group" + number).toList();
    return new Profile(
        "soak",
        stations.regions(),
        databases,
        stations.connections(),
        stations.slots(),
        stations.connectMillis(),
        stations.zoneMicros(),
        stations.regionMicros(),
        stations.callerMicros(),
        READ_SHARE);
  }

  /** Executes the run; the fleet's processes run until {@link #close}. */
  SoakResult run() throws Exception {
    progress.print("starts " + fleet.processes().size() + " processes in " + settings.folder());
    fleet.start();
    Callers callers =
        Callers.prepare(
            fleet,
            ROAMING_PER_DATABASE,
            READ_SHARE,
            PAUSE_MILLIS,
            ROAM_EVERY_REQUESTS,
            MAX_STALENESS_MILLIS,
            settings.seed());
    callers.addPersistent(
        PERSISTENT_PER_DATABASE, READ_SHARE, PAUSE_MILLIS, MAX_STALENESS_MILLIS, settings.seed());
    callers.start();
    progress.begin();
    progress.print("the fleet serves; faults begin");
    long lengthMillis = TimeUnit.SECONDS.toMillis(settings.seconds());
    List<PlannedFault> plan = FaultPlan.of(settings.seed(), lengthMillis, Topology.of(fleet));
    FaultInjector injector = new FaultInjector(fleet, plan, progress);
    injector.run();
    progress.print("the last fault is over");
    Map<String, Double> recovery = new Recovery(fleet, System.nanoTime()).measure();
    progress.print("recovered: " + recovery);
    callers.stop();
    progress.print("callers have stopped");
    return result(callers.journal(), injector, recovery);
  }

  private SoakResult result(Journal journal, FaultInjector injector, Map<String, Double> recovery)
      throws Exception {
    SoakHistory history =
        new SoakHistory(
            journal.writes(),
            Verification.found(fleet),
            journal.ownReads(),
            journal.agedReads(),
            journal.acknowledged(),
            MemberLimits.violations(fleet, settings.folder()),
            new SoakHistory.Configuration(injector.acceptedVersion(), configurationVersion()),
            recovery,
            new ExplanationSampler(settings.folder(), settings.seed())
                .sample(journal.failedRequests()));
    return new SoakResult(settings, history, injector.events(), journal);
  }

  private long configurationVersion() throws Exception {
    Exception last = null;
    for (int i = 0; i < ADMIN_ATTEMPTS; i++) {
      try {
        return Long.parseLong(fleet.admin("SHOW VERSIONS").get(0).get("configuration_version"));
      } catch (SQLException e) {
        last = e;
        TimeUnit.MILLISECONDS.sleep(ADMIN_PAUSE_MILLIS);
      }
    }
    throw last;
  }

  /** Kills the fleet's processes by their ids. */
  @Override
  public void close() {
    fleet.close();
  }
}
