package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.process.ControllerNode;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.ServiceAgents;

/** The simulated controllers of a service's fleet, with their processes and disks. */
final class SimServiceControllers {
  private final SimNetwork network;
  private final UniformRandomProvider random;
  private final SimHooks hooks;
  private final Function<String, SimHost> hosts;
  private final Function<SimHost, ServiceAgents> agents;
  private final Map<String, ControllerNode> nodes = new TreeMap<>();
  private final Map<String, SimDisk> disks = new TreeMap<>();
  private final List<String> names = new ArrayList<>(World.CONTROLLERS);

  SimServiceControllers(
      SimNetwork network,
      UniformRandomProvider random,
      SimHooks hooks,
      Function<String, SimHost> hosts,
      Function<SimHost, ServiceAgents> agents) {
    this.network = network;
    this.random = random;
    this.hooks = hooks;
    this.hosts = hosts;
    this.agents = agents;
  }

  /** Adds a controller besides the first voters. */
  void addSpare(String name) {
    names.add(name);
  }

  List<String> names() {
    return names;
  }

  /** Boots all controllers of a new fleet. */
  void bootFirst() {
    names.forEach(name -> boot(name, World.CONTROLLERS.contains(name)));
  }

  void boot(String name, boolean bootstrap) {
    SimHost host = hosts.apply(name);
    SimDisk disk = disks.computeIfAbsent(name, any -> hooks.newDisk());
    host.boot(() -> network.linksLost(name));
    ControllerNode node =
        new ControllerNode(
            name,
            World.CONTROLLERS,
            bootstrap,
            host.worker(),
            network.networkOf(host),
            disk,
            World.CODEC,
            AgreementSettings.DEFAULT.withMaxVoters(World.CONTROLLERS.size()),
            ControlSettings.DEFAULT.withQuotas(ServiceWorld.QUOTAS),
            new RandomAdapter(random),
            (long) host.incarnation() << Integer.SIZE,
            agents.apply(host));
    nodes.put(name, node);
    network.attach(name, node);
    node.start();
  }

  boolean isUp(String name) {
    return hosts.apply(name).isUp();
  }

  void bootIfDown(String name) {
    if (!isUp(name)) {
      boot(name, false);
    }
  }

  void kill(String name) {
    hosts.apply(name).kill();
  }

  /** Ends a controller and discards what its disk has not synced. */
  void losePower(String name) {
    kill(name);
    disks.get(name).losePower();
  }

  /** Arranges for the power loss of a controller during its next write. */
  void losePowerDuringWrite(String name) {
    disks.get(name).losePowerDuringWrite(random);
  }

  void loseDisk(String name) {
    kill(name);
    disks.put(name, hooks.newDisk());
  }

  ControllerNode node(String name) {
    return nodes.get(name);
  }

  Optional<String> leader() {
    return nodes.entrySet().stream()
        .filter(each -> hosts.apply(each.getKey()).isRunning())
        .filter(each -> each.getValue().controller().agreement().isLeader())
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
