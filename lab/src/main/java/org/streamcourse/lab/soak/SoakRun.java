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
 * One run: a fleet of real processes, callers of which one half roams and one half keeps its
 * connections until these are closed, the faults of the plan, a time to recover, and the history
 * for the checks.
 */
final class SoakRun implements AutoCloseable {
  private static final int ROAMING_PER_DATABASE = 4;
  private static final int STAYING_PER_DATABASE = 4;
  private static final double READ_SHARE = 0.7;
  private static final long PAUSE_MILLIS = 15;
  private static final int ROAM_EVERY = 25;
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
    // Failed requests are told at this level.
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

  /** Runs it all; the fleet stays up until {@link #close}. */
  SoakResult run() throws Exception {
    progress.tell("starts " + fleet.processes().size() + " processes in " + settings.folder());
    fleet.start();
    Callers callers =
        Callers.prepare(
            fleet,
            ROAMING_PER_DATABASE,
            READ_SHARE,
            PAUSE_MILLIS,
            ROAM_EVERY,
            MAX_STALENESS_MILLIS,
            settings.seed());
    callers.addStaying(
        STAYING_PER_DATABASE, READ_SHARE, PAUSE_MILLIS, MAX_STALENESS_MILLIS, settings.seed());
    callers.start();
    progress.begin();
    progress.tell("the fleet serves; faults begin");
    long lengthMillis = TimeUnit.SECONDS.toMillis(settings.seconds());
    List<PlannedFault> plan = FaultPlan.of(settings.seed(), lengthMillis, Topology.of(fleet));
    FaultInjector injector = new FaultInjector(fleet, plan, progress);
    injector.run();
    progress.tell("the last fault is over");
    Map<String, Double> recovery = new Recovery(fleet, System.nanoTime()).measure();
    progress.tell("recovered: " + recovery);
    callers.stop();
    progress.tell("callers have stopped");
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
            MemberLimits.excesses(fleet, settings.folder()),
            new SoakHistory.Configuration(injector.acceptedVersion(), configurationVersion()),
            recovery,
            new ExplainScore(settings.folder(), settings.seed()).draw(journal.failedRequests()));
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

  /** Ends all processes, by their ids, for good. */
  @Override
  public void close() {
    fleet.close();
  }
}
