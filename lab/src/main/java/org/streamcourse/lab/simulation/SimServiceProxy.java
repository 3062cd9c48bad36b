package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.connection.session.ClientSession;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.StatementProxyNode;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.version.image.NodeImage;

/** A simulated statement proxy process. */
final class SimServiceProxy {
  private static final int PORT = 7_100;

  private final ServiceWorld world;
  private final SimHost host;
  private final List<ClientChannel> channels = new ArrayList<>();
  private final List<SimServiceConnection> connections = new ArrayList<>();
  private StatementProxyNode node;

  SimServiceProxy(ServiceWorld world, SimHost host) {
    this.world = world;
    this.host = host;
  }

  SimHost host() {
    return host;
  }

  StatementProxyNode node() {
    return node;
  }

  boolean isReady() {
    return host.isRunning() && node.isReady();
  }

  void boot() {
    host.boot(this::killed);
    NodeImage self = new NodeImage(host.name(), 1, host.name(), PORT, host.placement(), false);
    node =
        world.newProxyNode(
            host,
            self,
            (target, port, listener) -> world.dial(this, target, listener),
            new RequestLog(new LineBudget(0, world::nowMillis), 0));
    String incarnation = host.name() + '/' + host.incarnation();
    node.agent()
        .onImage(image -> world.checks().documents().inForce(incarnation, image.document()));
    world.network().attach(host.name(), node);
    node.start();
  }

  void recover() {
    host.thaw();
    if (!host.isUp()) {
      boot();
    }
  }

  private void killed() {
    world.network().linksLost(host.name());
    List<ClientChannel> open = List.copyOf(channels);
    channels.clear();
    open.forEach(ClientChannel::close);
    List<SimServiceConnection> dying = List.copyOf(connections);
    connections.clear();
    dying.forEach(SimServiceConnection::proxyDied);
  }

  void connected(SimServiceConnection connection) {
    connections.add(connection);
  }

  /** Opens a session; must be called in a task of this process. */
  ClientSession open(ClientChannel channel) {
    channels.add(channel);
    return node.open(channel);
  }

  /** Runs a task unless the given incarnation of the process has ended. */
  void execute(int incarnation, Runnable task) {
    host.execute(incarnation, task);
  }
}
