package org.streamcourse.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.lab.LabCommand;
import org.streamcourse.lab.relay.Relay;
import org.streamcourse.process.StreamcourseCommand;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.version.image.Placement;
import reactor.netty.resources.LoopResources;

/**
 * Assigns a fleet's ports, writes its settings files, opens the relays between its parts, and
 * prepares its processes with their arguments.
 */
final class FleetLayout {
  private static final int MEMBER_HEAP_MB = 320;
  private static final int PROXY_HEAP_MB = 256;
  private static final int CONTROLLER_HEAP_MB = 192;

  private record Node(String name, Placement placement, HostPort links) {}

  private final Profile profile;
  private final Path folder;
  private final Fleet.Options options;
  private final Ports ports = new Ports();
  private final LoopResources loops = LoopResources.create("relay", 4, true);
  private final Map<String, Relay> relays = new TreeMap<>();
  private final List<Node> controllerNodes = new ArrayList<>();
  private final List<Node> proxyNodes = new ArrayList<>();
  private final Map<String, HostPort> admins = new TreeMap<>();
  private final Map<String, FleetProcess> controllers = new TreeMap<>();
  private final List<Fleet.ProxyHandle> proxies = new ArrayList<>();
  private final List<Fleet.MemberHandle> members = new ArrayList<>();
  private final Map<String, HostPort> replication = new TreeMap<>();
  private final HostPort machineListAddress;
  private final MachineList machineList;

  /**
   * Lays out a fleet: ports, settings files, relays, and processes that are not started yet.
   *
   * @param profile placements and sizes
   * @param folder folder for settings, data and logs
   * @param options further options
   * @throws IOException when no port is free or a file can't be written
   */
  FleetLayout(Profile profile, Path folder, Fleet.Options options) throws IOException {
    this.profile = profile;
    this.folder = Files.createDirectories(folder).toAbsolutePath();
    this.options = options;
    int regions = profile.regions().size();
    for (int i = 0; i < options.controllers(); i++) {
      controllerNodes.add(new Node("c" + (i + 1), profile.placement(i % regions, 0), ports.next()));
    }
    for (int i = 0; i < options.proxies(); i++) {
      int region = i / Profile.ZONES_PER_REGION % regions;
      Placement placement = profile.placement(region, i % Profile.ZONES_PER_REGION);
      proxyNodes.add(new Node("p" + (i + 1), placement, ports.next()));
    }
    machineListAddress = ports.next();
    machineList = new MachineList(machineListAddress);
    prepareMembers();
    prepareControllers();
    prepareProxies();
  }

  // ---- preparing ----

  private void prepareMembers() throws IOException {
    int regions = profile.regions().size();
    for (int database = 0; database < profile.databases().size(); database++) {
      for (int i = 0; i < regions; i++) {
        replication.put(profile.databases().get(database) + "/m" + (i + 1), ports.next());
      }
    }
    for (int database = 0; database < profile.databases().size(); database++) {
      for (int i = 0; i < regions; i++) {
        prepareMember(profile.databases().get(database), database, i);
      }
    }
  }

  private Placement memberPlacement(int database, int index) {
    return profile.placement((database + index) % profile.regions().size(), 0);
  }

  private void prepareMember(String database, int databaseIndex, int index) throws IOException {
    String name = "m" + (index + 1);
    HostPort sql = ports.next();
    Placement placement = memberPlacement(databaseIndex, index);
    int region = (databaseIndex + index) % profile.regions().size();
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "member",
                "--listen=" + sql,
                "--replication=" + replication.get(database + '/' + name),
                "--data=" + folder.resolve("data-" + database + "-" + name),
                "--connections=" + profile.connections(),
                "--slots=" + profile.slots(),
                "--connect-millis=" + profile.connectMillis(),
                "--lag-millis=" + options.lagMillis().getOrDefault(region, 0L),
                "--user=" + Fleet.USER,
                "--password=" + Fleet.PASSWORD));
    for (int other = 0; other < profile.regions().size(); other++) {
      String otherName = "m" + (other + 1);
      if (other != index) {
        HostPort target = replication.get(database + '/' + otherName);
        String route = "log:" + database + '/' + name + "->" + otherName;
        HostPort via = relay(route, placement, memberPlacement(databaseIndex, other), target);
        arguments.add("--peer=" + otherName + "=" + via);
      }
    }
    FleetProcess process =
        new FleetProcess(
            database + "-" + name, MEMBER_HEAP_MB, LabCommand.class, arguments, folder);
    members.add(new Fleet.MemberHandle(database, name, placement, sql, process));
  }

  /** Opens a relay that adds the latency between two placements; returns its listen address. */
  private HostPort relay(String route, Placement from, Placement to, HostPort target)
      throws IOException {
    long delay = options.latencies() ? profile.latencyMicros(from, to) : 0;
    return relay(route, delay, target);
  }

  private HostPort relay(String route, long delayMicros, HostPort target) throws IOException {
    HostPort listen = ports.next();
    relays.put(route, new Relay(listen, target, delayMicros, loops));
    return listen;
  }

  private void prepareControllers() throws IOException {
    for (Node controller : controllerNodes) {
      HostPort admin = ports.next();
      admins.put(controller.name(), admin);
      StringBuilder yaml = new StringBuilder();
      line(yaml, "name", controller.name());
      line(yaml, "dataFolder", folder.resolve("data-" + controller.name()).toString());
      line(yaml, "links", controller.links().toString());
      line(yaml, "admin", admin.toString());
      line(yaml, "fleetKey", Fleet.FLEET_KEY);
      line(yaml, "platformList", machineListAddress.toString());
      controllerList(yaml);
      yaml.append("operators:\n").append(userEntry(Fleet.USER));
      yaml.append("routes:\n");
      routeEntries(yaml, controller, controllerNodes);
      routeEntries(yaml, controller, proxyNodes);
      Path file = folder.resolve(controller.name() + ".yaml");
      Files.writeString(file, yaml);
      List<String> arguments = new ArrayList<>(List.of("controller", "--config=" + file));
      boolean fresh = !Files.exists(folder.resolve("data-" + controller.name()));
      if (fresh) {
        arguments.add("--bootstrap");
      }
      controllers.put(
          controller.name(),
          new FleetProcess(
              controller.name(), CONTROLLER_HEAP_MB, StreamcourseCommand.class, arguments, folder));
    }
  }

  private static void line(StringBuilder yaml, String field, String value) {
    yaml.append(field).append(": \"").append(value).append("\"\n");
  }

  private static String userEntry(String user) {
    return "  - {name: " + user + ", password: " + Fleet.PASSWORD + "}\n";
  }

  private void controllerList(StringBuilder yaml) {
    yaml.append("controllers:\n");
    controllerNodes.forEach(
        each ->
            yaml.append("  - {name: ")
                .append(each.name())
                .append(", address: \"")
                .append(each.links())
                .append("\"}\n"));
  }

  private void routeEntries(StringBuilder yaml, Node from, List<Node> targets) throws IOException {
    for (Node to : targets) {
      if (!to.name().equals(from.name())) {
        String route = "link:" + from.name() + "->" + to.name();
        routeEntry(yaml, to.name(), relay(route, from.placement(), to.placement(), to.links()));
      }
    }
  }

  private static void routeEntry(StringBuilder yaml, String to, HostPort address) {
    yaml.append("  - {to: ").append(to).append(", address: \"").append(address).append("\"}\n");
  }

  private void prepareProxies() throws IOException {
    for (Node proxy : proxyNodes) {
      HostPort callers = ports.next();
      HostPort metrics = ports.next();
      StringBuilder yaml = new StringBuilder();
      line(yaml, "name", proxy.name());
      line(yaml, "region", proxy.placement().region());
      line(yaml, "zone", proxy.placement().zone());
      line(yaml, "dataFolder", folder.resolve("data-" + proxy.name()).toString());
      line(yaml, "callers", callers.toString());
      line(yaml, "links", proxy.links().toString());
      line(yaml, "metrics", metrics.toString());
      line(yaml, "fleetKey", Fleet.FLEET_KEY);
      line(yaml, "memberUser", Fleet.USER);
      line(yaml, "memberPassword", Fleet.PASSWORD);
      line(yaml, "readPolicy", options.readPolicy());
      controllerList(yaml);
      yaml.append("users:\n").append(userEntry(Fleet.USER)).append(userEntry(Fleet.OTHER_USER));
      yaml.append("routes:\n");
      routeEntries(yaml, proxy, controllerNodes);
      routeEntries(yaml, proxy, proxyNodes);
      for (Fleet.MemberHandle member : members) {
        String name = member.database() + '/' + member.member();
        String route = "sql:" + proxy.name() + "->" + name;
        routeEntry(yaml, name, relay(route, proxy.placement(), member.placement(), member.sql()));
      }
      Path file = folder.resolve(proxy.name() + ".yaml");
      Files.writeString(file, yaml);
      FleetProcess process =
          new FleetProcess(
              proxy.name(),
              PROXY_HEAP_MB,
              StreamcourseCommand.class,
              List.of("proxy", "--config=" + file),
              folder);
      long callerDelay = options.latencies() ? profile.callerMicros() : 0;
      HostPort behindRelay = relay("callers->" + proxy.name(), callerDelay, callers);
      proxies.add(
          new Fleet.ProxyHandle(
              proxy.name(), proxy.placement(), behindRelay, callers, metrics, process));
    }
  }

  Profile profile() {
    return profile;
  }

  Map<String, FleetProcess> controllers() {
    return controllers;
  }

  Map<String, HostPort> admins() {
    return admins;
  }

  List<Fleet.ProxyHandle> proxies() {
    return proxies;
  }

  List<Fleet.MemberHandle> members() {
    return members;
  }

  Path folder() {
    return folder;
  }

  Map<String, Relay> relays() {
    return relays;
  }

  MachineList machineList() {
    return machineList;
  }

  /** Closes the relays and the stub of the list of machines, and releases the ports. */
  void close() {
    machineList.close();
    relays.values().forEach(Relay::close);
    loops.dispose();
    ports.close();
  }
}
