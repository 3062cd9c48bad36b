package org.streamcourse.process;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.streamcourse.connection.backend.MemberConnector;
import org.streamcourse.connection.backend.PoolSettings;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.request.edge.EdgeNode;
import org.streamcourse.request.edge.EdgeSettings;
import org.streamcourse.request.edge.ReadRouter;
import org.streamcourse.request.gateway.GatewayNode;
import org.streamcourse.request.gateway.GatewaySettings;
import org.streamcourse.version.control.ControlMessage;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.image.NodeImage;

/**
 * A proxy node without its sockets: its agent, gateways and edge. Used by the proxy process, the
 * simulator and the scale run.
 */
public final class ProxyNode implements PeerHandler {
  /**
   * Timing and limits of a proxy node.
   *
   * @param control timing of the control plane
   * @param gateway timing of the gateways
   * @param pool settings of the connection pools
   * @param edge timing of the edge
   * @param policy policy that chooses the member for a read
   */
  public record Settings(
      ControlSettings control,
      GatewaySettings gateway,
      PoolSettings pool,
      EdgeSettings edge,
      ReadRouter.Policy policy) {
    /** Default values, used when the settings file sets none. */
    public static final Settings DEFAULT =
        new Settings(
            ControlSettings.DEFAULT,
            GatewaySettings.DEFAULT,
            PoolSettings.DEFAULT,
            EdgeSettings.DEFAULT,
            ReadRouter.Policy.NEAREST_FRESH);
  }

  private final Worker agentWorker;
  private final NodeAgent agent;
  private final GatewayNode gateways;
  private final EdgeNode edge;

  /**
   * Creates a node.
   *
   * @param self image of this node
   * @param workers supplies workers for gateways
   * @param agentWorker worker that runs the agent
   * @param network sends messages to other processes
   * @param disk data folder
   * @param codec codec for all message types
   * @param controllers names of the controllers
   * @param connector opens connections to members
   * @param settings timing and limits
   * @param fleetKey key that signs floors
   * @param random random source for jitter
   */
  public ProxyNode(
      NodeImage self,
      Supplier<Worker> workers,
      Worker agentWorker,
      PeerNetwork network,
      Disk disk,
      MessageCodec codec,
      List<String> controllers,
      MemberConnector connector,
      Settings settings,
      FleetKey fleetKey,
      RandomGenerator random) {
    PeerNetwork withLoopback =
        (peer, message) -> {
          if (peer.equals(self.name())) {
            receive(peer, message);
          } else {
            network.send(peer, message);
          }
        };
    this.agentWorker = agentWorker;
    agent =
        new NodeAgent(
            agentWorker,
            network,
            disk,
            codec,
            settings.control(),
            controllers,
            self,
            self.lastRequest());
    gateways =
        new GatewayNode(
            workers,
            agentWorker,
            withLoopback,
            agent,
            connector,
            settings.gateway(),
            settings.pool(),
            settings.control());
    edge =
        new EdgeNode(
            agentWorker, withLoopback, agent, settings.edge(), settings.policy(), fleetKey, random);
  }

  /** Starts the gateways, the edge and the agent's heartbeats. */
  public void start() {
    gateways.start();
    edge.start();
    agentWorker.execute(agent::start);
  }

  /** Stops heartbeats and closes connections to members. */
  public void stop() {
    agentWorker.execute(agent::stop);
    gateways.stop();
  }

  /**
   * Returns the agent.
   *
   * @return this node's agent
   */
  public NodeAgent agent() {
    return agent;
  }

  /**
   * Returns the gateways.
   *
   * @return this node's gateways
   */
  public GatewayNode gateways() {
    return gateways;
  }

  /**
   * Returns the edge.
   *
   * @return this node's edge
   */
  public EdgeNode edge() {
    return edge;
  }

  @Override
  public void receive(String peer, Object message) {
    if (message instanceof ControlMessage.MemberOrder) {
      gateways.receive(peer, message);
    } else if (message instanceof ControlMessage) {
      agentWorker.execute(() -> agent.receive(peer, message));
    } else if (!gateways.receive(peer, message)) {
      edge.receive(peer, message);
    }
  }

  @Override
  public void linkLost(String peer) {
    gateways.linkLost(peer);
    edge.linkLost(peer);
  }

  @Override
  public void undelivered(String peer, List<Object> messages) {
    edge.undelivered(messages);
  }
}
