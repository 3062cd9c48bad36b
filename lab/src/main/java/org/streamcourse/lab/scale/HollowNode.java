package org.streamcourse.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.streamcourse.connection.backend.MemberConnector;
import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.connection.peer.PeerAddress;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.ProxyNode;
import org.streamcourse.process.WorkerPool;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.version.image.NodeImage;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * A proxy node with the real control and routing code and real peer links, but with hollow members
 * and without callers. Many hollow nodes run in one process.
 */
final class HollowNode {
  /** Resources that all hollow nodes of a process share. */
  record Shared(
      WorkerPool workers,
      LoopResources loops,
      MessageCodec codec,
      FleetKey key,
      Map<String, HostPort> controllers,
      Map<String, HollowGroup> groups,
      RandomGenerator random) {}

  private final String name;
  private final HostPort links;
  private final TcpPeerNetwork network;
  private final ProxyNode node;
  private boolean stopped;

  HollowNode(int number, HostPort links, Shared shared) {
    this.name = "n" + number;
    this.links = links;
    Function<String, PeerAddress> addresses = peer -> addressOf(peer, shared);
    network = new TcpPeerNetwork(name, shared.codec(), shared.key(), shared.loops(), addresses);
    NodeImage self =
        new NodeImage(
            name, System.nanoTime(), links.host(), links.port(), Zones.placement(number), false);
    node =
        new ProxyNode(
            self,
            shared.workers(),
            shared.workers().get(),
            network,
            new HollowDisk(),
            shared.codec(),
            List.copyOf(shared.controllers().keySet()),
            connector(shared.groups()),
            ProxyNode.Settings.DEFAULT,
            shared.key(),
            shared.random());
  }

  private PeerAddress addressOf(String peer, Shared shared) {
    HostPort controller = shared.controllers().get(peer);
    if (controller != null) {
      return new PeerAddress(controller.host(), controller.port());
    }
    return node.agent()
        .image()
        .node(peer)
        .map(found -> new PeerAddress(found.host(), found.port()))
        .orElse(null);
  }

  private static MemberConnector connector(Map<String, HollowGroup> groups) {
    return (group, member) ->
        Mono.defer(
            () -> {
              MemberSession session =
                  groups
                      .get(group.name())
                      .member(member.name())
                      .map(HollowMember::open)
                      .orElse(null);
              return session == null
                  ? Mono.error(new IllegalStateException("connection refused"))
                  : Mono.just(session);
            });
  }

  String zone() {
    return node.agent().self().placement().zone();
  }

  void start() {
    network.start(links.host(), links.port(), node);
    node.start();
  }

  /**
   * Stops the node without notifying its peers, as when a host fails. {@link #close()} releases its
   * ports and peer links.
   */
  void fail() {
    stopped = true;
    node.stop();
  }

  /** Closes ports and peer links, which takes some time. Peers see the links closed only now. */
  void close() {
    network.stop();
  }

  boolean isStopped() {
    return stopped;
  }

  long imageVersion() {
    return node.agent().image().version();
  }

  /** Bytes on peer links in both directions; without callers all are control traffic. */
  long controlBytes() {
    return network.sentBytes() + network.receivedBytes();
  }
}
