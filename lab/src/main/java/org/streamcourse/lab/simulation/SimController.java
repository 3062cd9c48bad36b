package org.streamcourse.lab.simulation;

import org.streamcourse.process.ControllerNode;
import org.streamcourse.version.agreement.AgreementSettings;

/** A simulated controller process. */
final class SimController {
  private final World world;
  private final SimHost host;
  private SimDisk disk;
  private ControllerNode node;

  SimController(World world, SimHost host) {
    this.world = world;
    this.host = host;
    this.disk = world.hooks().newDisk();
  }

  SimHost host() {
    return host;
  }

  ControllerNode node() {
    return node;
  }

  SimDisk disk() {
    return disk;
  }

  void boot(boolean bootstrap) {
    host.boot(() -> world.network().linksLost(host.name()));
    node =
        new ControllerNode(
            host.name(),
            World.CONTROLLERS,
            bootstrap,
            host.worker(),
            world.network().networkOf(host),
            disk,
            World.CODEC,
            AgreementSettings.DEFAULT,
            world.hooks().controlSettings(),
            new RandomAdapter(world.random()),
            (long) host.incarnation() << Integer.SIZE);
    world.network().attach(host.name(), node);
    node.start();
  }

  void loseDisk() {
    disk = world.hooks().newDisk();
  }

  void recover() {
    host.thaw();
    if (!host.isUp()) {
      boot(false);
    }
  }
}
