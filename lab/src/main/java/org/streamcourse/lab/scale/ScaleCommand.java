package org.streamcourse.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.FleetProcess;
import org.streamcourse.lab.workload.MetricsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs hollow nodes and databases against real controllers. Reports the cost of control traffic per
 * node, and the time to handle events such as failures. One run is one point of the fits in
 * docs/CAPACITY.md.
 */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = "Measures the cost of control traffic with many hollow nodes and databases.")
public final class ScaleCommand implements Callable<Integer> {
  private static final long EVENT_TIMEOUT_SECONDS = 120;
  private static final long POLL_MILLIS = 5;
  private static final int PRIMARY_CHANGES = 5;
  private static final int FAILED_NODES = 7;
  private static final String HEAP = "jvm_memory_used_bytes{area=\"heap\"";
  private static final String SENT = "streamcourse_link_sent_bytes";
  private static final String RECEIVED = "streamcourse_link_received_bytes";

  @Option(names = "--nodes", required = true, description = "Number of hollow nodes, at least 6.")
  private int nodes;

  @Option(names = "--databases", required = true, description = "Number of hollow databases.")
  private int databases;

  @Option(names = "--seconds", defaultValue = "20", description = "Length of the steady phase, s.")
  private int seconds;

  @Option(
      names = "--events",
      negatable = true,
      defaultValue = "true",
      fallbackValue = "true",
      description = "Whether to cause failures and changes after the steady phase.")
  private boolean events;

  private final ObjectNode report = new ObjectMapper().createObjectNode();

  /** Values of all counters at one time. */
  private record Sample(
      long atNanos,
      long hollowCpuNanos,
      long hollowBytes,
      Map<String, Long> controllerCpuNanos,
      Map<String, Double> controllerBytes) {}

  @Override
  public Integer call() throws Exception {
    if (nodes < Zones.COUNT || databases < 1) {
      System.err.println("--nodes must be at least " + Zones.COUNT + ", --databases at least 1");
      return 2;
    }
    Path folder = Files.createTempDirectory("streamcourse-scale");
    long heapBefore = usedHeap();
    try (ScaleFleet fleet = new ScaleFleet(folder, nodes, databases)) {
      long started = System.nanoTime();
      fleet.start();
      print(
          "%d nodes and %d databases are ready after %.1f s",
          nodes, databases, secondsSince(started));
      report.put("nodes", nodes);
      report.put("databases", databases);
      steadyPhase(fleet, heapBefore);
      if (events) {
        configurationChange(fleet);
        primaryChanges(fleet);
        failNodes(fleet, fleet.nodes().subList(0, Math.min(FAILED_NODES, nodes / 4)), "nodes_lost");
        failZone(fleet);
      }
    }
    System.out.println(report);
    return 0;
  }

  // ---- steady phase ----

  private void steadyPhase(ScaleFleet fleet, long heapBefore) throws Exception {
    TimeUnit.SECONDS.sleep(3);
    Sample first = sample(fleet);
    TimeUnit.SECONDS.sleep(seconds);
    Sample last = sample(fleet);
    double elapsed = (last.atNanos() - first.atNanos()) / 1e9;
    ObjectNode node = report.putObject("node");
    node.put("heap_bytes_per_node", (usedHeap() - heapBefore) / nodes);
    node.put(
        "control_bytes_per_second_per_node",
        (last.hollowBytes() - first.hollowBytes()) / elapsed / nodes);
    node.put(
        "control_core_share_per_node",
        (last.hollowCpuNanos() - first.hollowCpuNanos()) / 1e9 / elapsed / nodes);
    String leader = leader(fleet);
    for (String name : fleet.controllers().keySet()) {
      ObjectNode role = report.withObjectProperty(name.equals(leader) ? "leader" : "voter");
      long cpu = last.controllerCpuNanos().get(name) - first.controllerCpuNanos().get(name);
      role.put("heap_bytes_per_node", heapFloor(fleet, name) / nodes);
      role.put(
          "control_bytes_per_second_per_node",
          (last.controllerBytes().get(name) - first.controllerBytes().get(name)) / elapsed / nodes);
      role.put("control_core_share_per_node", cpu / 1e9 / elapsed / nodes);
      role.put("core_share", cpu / 1e9 / elapsed);
      role.put("heap_bytes", heapFloor(fleet, name));
    }
    print("steady: %s", report);
  }

  private static Sample sample(ScaleFleet fleet) throws Exception {
    Map<String, Long> controllers = new TreeMap<>();
    Map<String, Double> controllerBytes = new TreeMap<>();
    for (Map.Entry<String, FleetProcess> each : fleet.controllers().entrySet()) {
      Map<String, Double> metrics = MetricsReader.read(fleet.metricsOf(each.getKey()));
      controllers.put(each.getKey(), cpuNanos(each.getValue()));
      controllerBytes.put(each.getKey(), metrics.get(SENT) + metrics.get(RECEIVED));
    }
    long hollowCpu =
        ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getProcessCpuTime();
    long bytes = fleet.nodes().stream().mapToLong(HollowNode::controlBytes).sum();
    return new Sample(System.nanoTime(), hollowCpu, bytes, controllers, controllerBytes);
  }

  private static long cpuNanos(FleetProcess process) {
    return ProcessHandle.of(process.pid())
        .flatMap(each -> each.info().totalCpuDuration())
        .orElseThrow()
        .toNanos();
  }

  /** Smallest heap in use during 1.5 s, an approximation of the live heap. */
  private static long heapFloor(ScaleFleet fleet, String controller) throws Exception {
    double floor = Double.MAX_VALUE;
    for (int i = 0; i < 15; i++) {
      double used =
          MetricsReader.read(fleet.metricsOf(controller)).entrySet().stream()
              .filter(each -> each.getKey().startsWith(HEAP))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      floor = Math.min(floor, used);
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return (long) floor;
  }

  private static long usedHeap() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      System.gc();
      TimeUnit.MILLISECONDS.sleep(200);
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static String leader(ScaleFleet fleet) throws Exception {
    return fleet.admin().execute("SHOW CONTROLLERS WHERE role = leader").get(0).get("controller");
  }

  // ---- events ----

  /** Measures the time until a configuration change is in effect on every node. */
  private void configurationChange(ScaleFleet fleet) throws Exception {
    long before = fleet.nodes().get(0).imageVersion();
    long start = System.nanoTime();
    fleet.admin().execute("ALTER GROUP db0 SET max_staleness_ms = 1234");
    ScaleFleet.await(
        EVENT_TIMEOUT_SECONDS,
        POLL_MILLIS,
        () -> fleet.nodes().stream().allMatch(node -> node.imageVersion() > before));
    report.put("configuration_in_force_ms", millisSince(start));
  }

  private void primaryChanges(ScaleFleet fleet) throws Exception {
    var times = report.putArray("primary_change_ms");
    for (int i = 0; i < Math.min(PRIMARY_CHANGES, databases); i++) {
      HollowGroup group = fleet.groups().get("db" + i);
      HollowMember primary =
          group.members().values().stream()
              .filter(each -> each.status().role().name().equals("PRIMARY"))
              .findFirst()
              .orElseThrow();
      long start = System.nanoTime();
      primary.die();
      ScaleFleet.await(EVENT_TIMEOUT_SECONDS, POLL_MILLIS, () -> hasLivePrimary(group));
      times.add(millisSince(start));
    }
  }

  private static boolean hasLivePrimary(HollowGroup group) {
    return group.members().values().stream()
        .anyMatch(each -> !each.isDown() && each.status().role().name().equals("PRIMARY"));
  }

  /** Fails nodes; measures the time until they are removed and their allowances reassigned. */
  private void failNodes(ScaleFleet fleet, List<HollowNode> lost, String field) throws Exception {
    Sample before = sample(fleet);
    long start = System.nanoTime();
    stopAbruptly(lost);
    int left = (int) fleet.nodes().stream().filter(each -> !each.isStopped()).count();
    fleet.awaitRows("SHOW NODES", left);
    double removed = secondsSince(start);
    awaitSettled(fleet);
    Sample after = sample(fleet);
    ObjectNode event = report.putObject(field);
    event.put("count", lost.size());
    event.put("removed_s", removed);
    event.put("allowances_settled_s", secondsSince(start));
    event.put(
        "control_bytes_per_node", (after.hollowBytes() - before.hollowBytes()) / Math.max(1, left));
    event.put("leader_cpu_s", leaderCpu(before, after));
    print("%s: %s", field, event);
  }

  /**
   * Stops nodes without notifying their peers. Closes their ports and peer links in the background:
   * closing those of a whole zone takes this process seconds, which a failure of real hosts doesn't
   * take.
   */
  private void stopAbruptly(List<HollowNode> lost) {
    lost.forEach(HollowNode::fail);
    long start = System.nanoTime();
    CompletableFuture.runAsync(() -> lost.parallelStream().forEach(HollowNode::close))
        .thenRun(() -> print("closed %d nodes in %d ms", lost.size(), millisSince(start)));
  }

  private static double leaderCpu(Sample before, Sample after) {
    return after.controllerCpuNanos().entrySet().stream()
            .mapToLong(each -> each.getValue() - before.controllerCpuNanos().get(each.getKey()))
            .max()
            .orElse(0)
        / 1e9;
  }

  /** Waits until the image has not changed for two seconds and all nodes have it. */
  private static void awaitSettled(ScaleFleet fleet) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_SECONDS);
    long stableSince = System.nanoTime();
    long version = -1;
    while (System.nanoTime() - stableSince < TimeUnit.SECONDS.toNanos(2)) {
      List<Long> versions =
          fleet.nodes().stream()
              .filter(each -> !each.isStopped())
              .map(HollowNode::imageVersion)
              .distinct()
              .toList();
      if (versions.size() != 1 || versions.get(0) != version) {
        version = versions.get(0);
        stableSince = System.nanoTime();
      }
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException(
            "the image still changes after " + EVENT_TIMEOUT_SECONDS + " s");
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Fails all nodes and members of one zone at once. */
  private void failZone(ScaleFleet fleet) throws Exception {
    String zone = Zones.placement(1).zone();
    List<HollowGroup> affected =
        fleet.groups().values().stream().filter(each -> primaryIsIn(each, zone)).toList();
    for (HollowGroup group : fleet.groups().values()) {
      group
          .members()
          .forEach(
              (name, member) -> {
                if (group.placementOf(name).zone().equals(zone)) {
                  member.die();
                }
              });
    }
    long start = System.nanoTime();
    List<HollowNode> lost =
        fleet.nodes().stream()
            .filter(each -> !each.isStopped() && each.zone().equals(zone))
            .toList();
    stopAbruptly(lost);
    long servable = affected.stream().filter(ScaleCommand::hasMajority).count();
    ScaleFleet.await(
        EVENT_TIMEOUT_SECONDS,
        POLL_MILLIS,
        () -> affected.stream().filter(ScaleCommand::hasLivePrimary).count() >= servable);
    report.put("zone_lost_primaries", servable);
    report.put("zone_lost_all_primaries_changed_ms", millisSince(start));
    failNodes(fleet, lost, "zone_lost");
  }

  private static boolean primaryIsIn(HollowGroup group, String zone) {
    return group.members().entrySet().stream()
        .anyMatch(
            each ->
                !each.getValue().isDown()
                    && each.getValue().status().role().name().equals("PRIMARY")
                    && group.placementOf(each.getKey()).zone().equals(zone));
  }

  private static boolean hasMajority(HollowGroup group) {
    long up = group.members().values().stream().filter(each -> !each.isDown()).count();
    return up > group.members().size() / 2;
  }

  private static double secondsSince(long nanos) {
    return (System.nanoTime() - nanos) / 1e9;
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private static void print(String format, Object... values) {
    System.out.printf(Locale.ROOT, format + "%n", values);
  }
}
