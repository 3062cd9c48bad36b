package org.streamcourse.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.streamcourse.lab.fleet.AdminClient;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.FleetProcess;
import org.streamcourse.lab.fleet.Ports;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.StreamcourseCommand;
import org.streamcourse.process.Worker;
import org.streamcourse.process.WorkerPool;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.MemberRole;
import reactor.netty.resources.LoopResources;

/** Real controllers as processes, and hollow nodes and databases in this process. */
final class ScaleFleet implements AutoCloseable {
  private static final int CONTROLLERS = 3;
  private static final int CONTROLLER_HEAP_MB = 512;
  private static final int THREADS = 6;
  private static final int GROUPS_PER_BATCH = 20;
  private static final long WRITE_INTERVAL_MILLIS = 250;
  private static final long READY_TIMEOUT_SECONDS = 300;
  private static final long POLL_MILLIS = 20;
  private static final long ADMIN_POLL_MILLIS = 250;

  private final Ports ports = new Ports();
  private final WorkerPool workers = new WorkerPool("hollow", THREADS);
  private final LoopResources loops = LoopResources.create("hollow-io", THREADS, true);
  private final Map<String, FleetProcess> controllers = new TreeMap<>();
  private final Map<String, HostPort> metrics = new TreeMap<>();
  private final Map<String, HollowGroup> groups = new TreeMap<>();
  private final List<HollowNode> nodes = new ArrayList<>();
  private final AdminClient admin;

  ScaleFleet(Path folder, int nodeCount, int groupCount) throws IOException {
    Map<String, HostPort> links = new TreeMap<>();
    Map<String, HostPort> admins = new TreeMap<>();
    for (int i = 1; i <= CONTROLLERS; i++) {
      links.put("c" + i, ports.next());
      admins.put("c" + i, ports.next());
      metrics.put("c" + i, ports.next());
    }
    for (String name : links.keySet()) {
      controllers.put(name, controller(folder, name, links, admins.get(name)));
    }
    admin = new AdminClient(admins);
    Worker members = workers.get();
    for (int i = 0; i < groupCount; i++) {
      HollowGroup group = new HollowGroup(i, members);
      groups.put(group.name(), group);
    }
    members.repeat(WRITE_INTERVAL_MILLIS, () -> groups.values().forEach(HollowGroup::advance));
    HollowNode.Shared shared =
        new HollowNode.Shared(
            workers,
            loops,
            StreamTypes.codec(),
            new FleetKey(Fleet.FLEET_KEY),
            links,
            groups,
            new SecureRandom());
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new HollowNode(i, ports.next(), shared));
    }
  }

  private FleetProcess controller(
      Path folder, String name, Map<String, HostPort> links, HostPort adminPort)
      throws IOException {
    StringBuilder yaml = new StringBuilder();
    yaml.append("name: ").append(name).append('\n');
    yaml.append("dataFolder: \"").append(folder.resolve("data-" + name)).append("\"\n");
    yaml.append("links: \"").append(links.get(name)).append("\"\n");
    yaml.append("admin: \"").append(adminPort).append("\"\n");
    yaml.append("metrics: \"").append(metrics.get(name)).append("\"\n");
    yaml.append("fleetKey: ").append(Fleet.FLEET_KEY).append('\n');
    yaml.append("controllers:\n");
    links.forEach(
        (each, address) ->
            yaml.append("  - {name: ")
                .append(each)
                .append(", address: \"")
                .append(address)
                .append("\"}\n"));
    yaml.append("operators:\n  - {name: ")
        .append(Fleet.USER)
        .append(", password: ")
        .append(Fleet.PASSWORD)
        .append("}\n");
    Path file = Files.writeString(folder.resolve(name + ".yaml"), yaml);
    return new FleetProcess(
        name,
        CONTROLLER_HEAP_MB,
        StreamcourseCommand.class,
        List.of("controller", "--config=" + file, "--bootstrap"),
        folder);
  }

  /**
   * Starts all processes and nodes; waits until each group has a primary and members are reachable.
   */
  void start() throws Exception {
    for (FleetProcess each : controllers.values()) {
      each.start();
    }
    nodes.forEach(HollowNode::start);
    awaitRows("SHOW NODES", nodes.size());
    createGroups();
    awaitRows("SHOW GROUPS WHERE primary <> ''", groups.size());
    awaitRows("SHOW MEMBERS WHERE reachable = true", memberCount());
  }

  int memberCount() {
    return groups.values().stream().mapToInt(each -> each.members().size()).sum();
  }

  /**
   * Creates the groups in batches because all nodes share the cores of one machine. The next batch
   * is created when all nodes have the image with the previous one.
   */
  private void createGroups() throws InterruptedException {
    List<HollowGroup> all = List.copyOf(groups.values());
    for (int from = 0; from < all.size(); from += GROUPS_PER_BATCH) {
      List<HollowGroup> batch = all.subList(from, Math.min(all.size(), from + GROUPS_PER_BATCH));
      batch.parallelStream().forEach(group -> create(group.createStatement()));
      await(
          READY_TIMEOUT_SECONDS,
          POLL_MILLIS,
          () -> batch.stream().allMatch(ScaleFleet::hasPrimary));
      long newest = nodes.stream().mapToLong(HollowNode::imageVersion).max().orElse(0);
      await(
          READY_TIMEOUT_SECONDS,
          POLL_MILLIS,
          () -> nodes.stream().allMatch(node -> node.imageVersion() >= newest));
    }
  }

  private static boolean hasPrimary(HollowGroup group) {
    return group.members().values().stream()
        .anyMatch(each -> each.status().role() == MemberRole.PRIMARY);
  }

  private void create(String sql) {
    try {
      await(READY_TIMEOUT_SECONDS, POLL_MILLIS, () -> tryAdmin(sql) != null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until a query returns a number of rows. */
  void awaitRows(String query, int count) throws Exception {
    await(
        READY_TIMEOUT_SECONDS,
        ADMIN_POLL_MILLIS,
        () -> {
          List<Map<String, String>> rows = tryAdmin(query);
          return rows != null && rows.size() == count;
        });
  }

  private List<Map<String, String>> tryAdmin(String sql) {
    try {
      return admin.execute(sql);
    } catch (SQLException e) {
      return null;
    }
  }

  /** Waits until a condition holds; returns the milliseconds that it took. */
  static long await(long seconds, long pollMillis, BooleanSupplier condition)
      throws InterruptedException {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(seconds)) {
        throw new IllegalStateException("not reached within " + seconds + " s");
      }
      TimeUnit.MILLISECONDS.sleep(pollMillis);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  AdminClient admin() {
    return admin;
  }

  List<HollowNode> nodes() {
    return nodes;
  }

  Map<String, HollowGroup> groups() {
    return groups;
  }

  Map<String, FleetProcess> controllers() {
    return controllers;
  }

  HostPort metricsOf(String controller) {
    return metrics.get(controller);
  }

  @Override
  public void close() {
    controllers.values().forEach(FleetProcess::kill);
    nodes.forEach(HollowNode::fail);
    nodes.forEach(HollowNode::close);
    workers.stop();
    loops.dispose();
    ports.close();
  }
}
