package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.frontend.CallerChannel;
import org.streamcourse.connection.frontend.ConnectionSession;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.PlannedStop;
import org.streamcourse.process.ProxyNode;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.image.NodeImage;

/** A simulated proxy process. */
final class SimProxy {
  private static final long RESTART_DELAY_MILLIS = 500;
  private static final PlannedStop.Limits STOP_LIMITS =
      new PlannedStop.Limits(30_000, 35_000, ControlSettings.DEFAULT.confirmationMillis());
  private final World world;
  private final SimHost host;
  private final SimDisk disk;
  private final List<Runnable> whenKilled = new ArrayList<>();
  private final List<SimMemberSession> memberSessions = new ArrayList<>();
  private final List<ConnectionSession> sessions = new ArrayList<>();
  private ProxyNode node;
  private boolean stopping;

  SimProxy(World world, SimHost host) {
    this.world = world;
    this.host = host;
    this.disk = world.hooks().newProxyDisk();
  }

  SimHost host() {
    return host;
  }

  ProxyNode node() {
    return node;
  }

  boolean accepts() {
    return host.isUp() && !stopping;
  }

  void onKilled(Runnable task) {
    whenKilled.add(task);
  }

  void boot() {
    host.boot(this::killed);
    stopping = false;
    Worker worker = host.worker();
    NodeImage self =
        new NodeImage(host.name(), host.incarnation(), "127.0.0.1", 1, host.placement(), false);
    node =
        new ProxyNode(
            self,
            host::worker,
            worker,
            world.network().networkOf(host),
            disk,
            World.CODEC,
            World.CONTROLLERS,
            new SimMemberConnector(world, this::host, memberSessions),
            world.hooks().proxySettings(),
            new FleetKey("simulated"),
            new RandomAdapter(world.random()));
    world.network().attach(host.name(), node);
    node.start();
  }

  private void killed() {
    world.history().event("proxy " + host.name() + " is killed");
    world.network().linksLost(host.name());
    memberSessions.forEach(SimMemberSession::gatewayDied);
    memberSessions.clear();
    sessions.clear();
    List<Runnable> due = List.copyOf(whenKilled);
    whenKilled.clear();
    due.forEach(Runnable::run);
  }

  ConnectionSession openSession(CallerChannel channel, String group) {
    ConnectionSession session =
        new ConnectionSession(channel, node.edge(), host.worker(), World.FRONTEND, group, "app");
    sessions.add(session);
    return session;
  }

  /** Runs the planned stop of a proxy that receives SIGTERM, then restarts the proxy. */
  void restartPlanned() {
    stopping = true;
    world.history().event("proxy " + host.name() + " begins a planned stop");
    sessions.forEach(ConnectionSession::drain);
    PlannedStop stop =
        new PlannedStop(node, new StoppingSessions(), STOP_LIMITS, host.worker().now());
    advance(stop);
  }

  /** The sessions during a planned stop. */
  private final class StoppingSessions implements PlannedStop.Sessions {
    @Override
    public boolean haveEnded() {
      return sessions.stream().allMatch(ConnectionSession::isClosed);
    }

    @Override
    public void end() {
      sessions.forEach(ConnectionSession::end);
    }

    @Override
    public void terminate() {
      sessions.forEach(ConnectionSession::terminate);
    }
  }

  private void advance(PlannedStop stop) {
    Worker worker = host.worker();
    worker.schedule(
        PlannedStop.POLL_MILLIS,
        () -> {
          if (stop.advance(worker.now())) {
            restart();
          } else {
            advance(stop);
          }
        });
  }

  private void restart() {
    world.history().event("proxy " + host.name() + " has stopped");
    world.after(RESTART_DELAY_MILLIS, this::recover);
    host.kill();
  }

  void recover() {
    host.thaw();
    if (!host.isUp()) {
      boot();
    }
  }
}
