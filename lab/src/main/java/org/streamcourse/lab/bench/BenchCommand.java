package org.streamcourse.lab.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import org.streamcourse.lab.workload.Callers;
import org.streamcourse.lab.workload.Journal;
import org.streamcourse.lab.workload.ProxyCounters;
import org.streamcourse.lab.workload.Verification;
import org.streamcourse.lab.workload.WriteOutcome;
import org.streamcourse.process.ProxyProcess;
import org.streamcourse.process.StreamcourseException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Benchmarks one profile with one read policy. On a fleet with simulated latencies it measures the
 * share of reads served by replicas, compared with an oracle, and the write gaps at changes of
 * primary. On a fleet without them it measures the proxy's overhead per statement, its service
 * under twice the load that it can serve, and the restart of the controllers.
 */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Measures replica reads, failover gaps, latencies and throughput.")
public final class BenchCommand implements Callable<Integer> {
  private static final int CALLERS_PER_DATABASE = 8;
  private static final long PAUSE_MILLIS = 10;
  private static final int ROAM_EVERY = 40;
  private static final long MAX_STALENESS_MILLIS = 1_000;
  private static final long SEED = 1;
  private static final long WARM_UP_SECONDS = 3;
  private static final long THROUGHPUT_SECONDS = 8;

  /** Warm-up before throughput is measured: the JVMs are much slower before JIT compilation. */
  private static final long THROUGHPUT_WARM_UP_SECONDS = 15;

  /** Delay before replicas apply a record, by region; simulates the replica lag of production. */
  private static final Map<Integer, Long> LAG_MILLIS = Map.of(0, 5L, 1, 40L, 2, 120L);

  @Option(names = "--profile", required = true, description = "stations or association.")
  private String profileName;

  @Option(
      names = "--policy",
      defaultValue = "nearest-fresh",
      description = "nearest-fresh, or the baselines primary-only and round-robin.")
  private String policy;

  @Option(names = "--seconds", defaultValue = "60", description = "Length of the main phase, s.")
  private int seconds;

  /** Parts of the benchmark. All but the first run on a fleet without simulated latencies. */
  enum Part {
    /** Replica reads and failover gaps. */
    SERVE,
    /** Statements per second, through proxies and directly at the primaries. */
    THROUGHPUT,
    /** Highest throughput of one primary, and service under twice that load. */
    OVERLOAD,
    /** Restart time of all controllers after 1,000 configuration changes. */
    RESTART
  }

  @Option(
      names = "--parts",
      split = ",",
      defaultValue = "SERVE,THROUGHPUT,OVERLOAD,RESTART",
      description = "Parts to run: ${COMPLETION-CANDIDATES}.")
  private Set<Part> parts;

  @Option(names = "--report", description = "Folder for plots.")
  private Path reportFolder;

  @Spec private CommandSpec spec;

  private final ObjectNode json = new ObjectMapper().createObjectNode();

  @Override
  public Integer call() throws Exception {
    Profile profile = parseProfile();
    json.put("profile", profile.name());
    json.put("policy", policy);
    boolean passed = !parts.contains(Part.SERVE) || measureReadsAndGaps(profile);
    if (!EnumSet.of(Part.SERVE).containsAll(parts)) {
      measureWithoutLatencies(profile);
    }
    System.out.println(json);
    return passed ? 0 : 1;
  }

  private Profile parseProfile() {
    try {
      ProxyProcess.policy(policy);
      return Profile.named(profileName);
    } catch (StreamcourseException | IllegalArgumentException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }

  // ---- replica reads and gaps ----

  private boolean measureReadsAndGaps(Profile profile) throws Exception {
    Path folder = Files.createTempDirectory("streamcourse-bench");
    Fleet.Options options = new Fleet.Options(policy, LAG_MILLIS, true);
    try (Fleet fleet = new Fleet(profile, folder, options)) {
      fleet.start();
      Callers callers = callers(fleet, PAUSE_MILLIS);
      callers.addWriters(MAX_STALENESS_MILLIS, SEED);
      Oracle oracle = new Oracle(fleet, MAX_STALENESS_MILLIS);
      oracle.start();
      TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
      callers.start();
      PrimaryChanges changes = new PrimaryChanges(fleet);
      changes.run(seconds);
      callers.stop();
      oracle.stop();
      return report(fleet, callers.journal(), oracle, changes);
    }
  }

  private static Callers callers(Fleet fleet, long pauseMillis) throws Exception {
    return Callers.prepare(
        fleet,
        CALLERS_PER_DATABASE,
        fleet.profile().readShare(),
        pauseMillis,
        ROAM_EVERY,
        MAX_STALENESS_MILLIS,
        SEED);
  }

  private boolean report(Fleet fleet, Journal journal, Oracle oracle, PrimaryChanges changes)
      throws Exception {
    long reads = journal.reads().size();
    long replica = ProxyCounters.sum(fleet, ProxyCounters.REPLICA_READS);
    long primary = ProxyCounters.sum(fleet, ProxyCounters.PRIMARY_READS);
    double share = replica / (double) Math.max(1, replica + primary);
    double oracleShare = oracle.countServable(journal.reads()) / (double) Math.max(1, reads);
    Verification result = Verification.of(fleet, journal);
    json.put("reads", reads);
    json.put("replica_reads", replica);
    json.put("replica_read_share", share);
    json.put("oracle_replica_read_share", oracleShare);
    json.put("stale_reads", journal.staleReads());
    json.put("lost_writes", result.lostWrites());
    json.put("duplicate_writes", result.duplicateWrites());
    json.put("false_not_run", result.falseNotRun());
    json.put("acknowledged", journal.count(WriteOutcome.ACKNOWLEDGED));
    json.put("refused", journal.count(WriteOutcome.NOT_RUN));
    json.put("unknown", journal.count(WriteOutcome.UNKNOWN));
    json.put("read_errors", journal.readErrors());
    List<Long> unplanned = changes.gapsMillis(journal, false);
    List<Long> planned = changes.gapsMillis(journal, true);
    unplanned.forEach(json.putArray("failover_gap_ms")::add);
    planned.forEach(json.putArray("planned_gap_ms")::add);
    putLatencies("read_micros", journal.readMicros());
    putLatencies("write_micros", journal.writeMicros());
    if (reportFolder != null) {
      Files.createDirectories(reportFolder);
      Plots.latencies(
          reportFolder.resolve("latency.png"), journal.readMicros(), journal.writeMicros());
      Plots.gaps(reportFolder.resolve("gaps.png"), unplanned, planned);
    }
    System.out.printf(
        Locale.ROOT,
        "Reads: %d, %.2f %% by replicas, oracle %.2f %%. Gaps: unplanned %s ms, planned %s ms.%n",
        reads,
        share * 100,
        oracleShare * 100,
        unplanned,
        planned);
    return journal.staleReads()
            + result.lostWrites()
            + result.duplicateWrites()
            + result.falseNotRun()
        == 0;
  }

  private void putLatencies(String name, Histogram micros) {
    putLatencies(json, name, micros);
  }

  private static void putLatencies(ObjectNode parent, String name, Histogram micros) {
    ObjectNode node = parent.putObject(name);
    node.put("p50", micros.getValueAtPercentile(50));
    node.put("p99", micros.getValueAtPercentile(99));
    node.put("max", micros.getMaxValue());
  }

  // ---- proxy overhead, overload, restart ----

  private void measureWithoutLatencies(Profile profile) throws Exception {
    Path folder = Files.createTempDirectory("streamcourse-bench-direct");
    Fleet.Options options = new Fleet.Options(policy, Map.of(), false);
    try (Fleet fleet = new Fleet(profile, folder, options)) {
      fleet.start();
      if (parts.contains(Part.THROUGHPUT)) {
        compareWithDirect(fleet);
      }
      if (parts.contains(Part.OVERLOAD)) {
        overload(new Overload(fleet));
      }
      if (parts.contains(Part.RESTART)) {
        json.put("controllers_restart_ms", new RestartTime(fleet).measureMillis());
      }
    }
  }

  private void compareWithDirect(Fleet fleet) throws Exception {
    ProxyCosts costs = new ProxyCosts(fleet);
    Measured proxied = measure(callers(fleet, 0), "", costs);
    json.put(
        "proxy_cpu_micros_per_statement",
        proxied.cpuNanos() / 1e3 / Math.max(1, proxied.statements()));
    measure(
        Callers.prepareDirect(
            fleet, CALLERS_PER_DATABASE, fleet.profile().readShare(), MAX_STALENESS_MILLIS, SEED),
        "direct_",
        costs);
  }

  private void overload(Overload load) throws InterruptedException {
    double highest = load.measureHighest().servedPerSecond();
    Overload.Shared shared = load.measureOverload(highest);
    Overload.Phase overloading = shared.overloading();
    ObjectNode node = json.putObject("overload");
    node.put("best_per_second", highest);
    node.put("served_per_second", overloading.servedPerSecond());
    node.put("refused", overloading.refused());
    node.put("failed", overloading.failed());
    node.put("not_sent", overloading.skipped());
    putLatencies(node, "served_micros", overloading.servedMicros());
    putLatencies(node, "refused_micros", overloading.refusedMicros());
    Overload.Phase other = shared.other();
    node.put("other_user_served_per_second", other.servedPerSecond());
    node.put("other_user_refused", other.refused());
    node.put("other_user_failed", other.failed());
    putLatencies(node, "other_user_served_micros", other.servedMicros());
  }

  /** Statements and processor time of the proxies in one run of callers without pauses. */
  private record Measured(long statements, long cpuNanos) {}

  private Measured measure(Callers callers, String prefix, ProxyCosts costs)
      throws InterruptedException {
    callers.start();
    TimeUnit.SECONDS.sleep(THROUGHPUT_WARM_UP_SECONDS);
    Journal journal = callers.journal();
    journal.resetLatencies();
    long cpuBefore = costs.cpuNanos();
    TimeUnit.SECONDS.sleep(THROUGHPUT_SECONDS);
    callers.stop();
    long cpuNanos = costs.cpuNanos() - cpuBefore;
    long statements = journal.readMicros().getTotalCount() + journal.writeMicros().getTotalCount();
    json.put(prefix + "statements_per_second", statements / (double) THROUGHPUT_SECONDS);
    putLatencies(prefix + "undelayed_read_micros", journal.readMicros());
    putLatencies(prefix + "undelayed_write_micros", journal.writeMicros());
    return new Measured(statements, cpuNanos);
  }
}
