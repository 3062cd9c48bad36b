package org.streamcourse.process;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.peer.PeerAddress;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.process.settings.CommonSettings;
import org.streamcourse.process.settings.ControllerSettings;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlSettings;
import reactor.netty.resources.LoopResources;

/** The process of a controller: its node with sockets, disk and threads. */
public final class ControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);
  private static final Duration LOOPS_STOP = Duration.ofSeconds(2);
  private static final int IO_THREADS = 2;
  private static final int WORKER_THREADS = 2;

  private final ControllerSettings settings;
  private final WorkerPool workers;
  private final LoopResources loops;
  private final TcpPeerNetwork network;
  private final ControllerNode node;
  private final FolderDisk disk;
  private final PlatformList platformList;
  private final MetricsEndpoint metrics = new MetricsEndpoint();
  private final Map<String, HostPort> routes;

  /** Addresses that nodes told in their heartbeats, also of nodes not yet admitted. */
  private final Map<String, PeerAddress> heardNodes = new ConcurrentHashMap<>();

  private CallerPort adminPort;

  /**
   * Wires the process.
   *
   * @param settings checked settings
   * @param bootstrap whether an empty data folder belongs to a new fleet
   */
  public ControllerProcess(ControllerSettings settings, boolean bootstrap) {
    this.settings = settings;
    routes = CommonSettings.table(settings.routes());
    workers = new WorkerPool("controller", WORKER_THREADS);
    loops = LoopResources.create("io", IO_THREADS, false);
    MessageCodec codec = StreamTypes.codec();
    network =
        new TcpPeerNetwork(
            settings.name(),
            codec,
            new FleetKey(settings.fleetKey()),
            loops,
            this::addressOf,
            ProxyProcess.LINK_SILENCE);
    disk = new FolderDisk(Path.of(settings.dataFolder()));
    node =
        new ControllerNode(
            settings.name(),
            settings.controllers().stream().map(CommonSettings.Peer::name).toList(),
            bootstrap,
            workers.get(),
            network,
            disk,
            codec,
            AgreementSettings.DEFAULT,
            ControlSettings.DEFAULT,
            new SecureRandom());
    platformList = new PlatformList(workers.get(), node::onPlatformList);
    metrics.gauge(
        "streamcourse_leader",
        "1 while this controller leads.",
        () -> node.controller().agreement().isLeader() ? 1 : 0);
    metrics.gauge(
        "streamcourse_commit_index",
        "Last committed entry.",
        () -> node.controller().agreement().commitIndex());
    metrics.linkTraffic(network.traffic());
    metrics.gauge("streamcourse_link_sent_bytes", "Bytes sent on links.", network::sentBytes);
    metrics.gauge(
        "streamcourse_link_received_bytes", "Bytes received on links.", network::receivedBytes);
  }

  private PeerAddress addressOf(String peer) {
    HostPort route = routes.get(peer);
    if (route == null) {
      route = CommonSettings.addressOf(settings.controllers(), peer);
    }
    return route == null ? heardNodes.get(peer) : new PeerAddress(route.host(), route.port());
  }

  /** Starts all parts. */
  public void start() {
    network.start(settings.links().host(), settings.links().port(), new AddressLearner());
    node.start();
    platformList.start(settings.platformList());
    adminPort =
        AdminPort.open(settings.admin(), settings.operators(), loops, workers, node.router());
    metrics.start(settings.metrics());
    LOG.info("controller {} accepts operators at {}", settings.name(), settings.admin());
  }

  /** Stops all parts; the log is synced at all times. */
  public void stop() {
    platformList.stop();
    node.stop();
    adminPort.stop();
    metrics.stop();
    network.stop();
    // Workers first: what they still send would keep the event loops from coming to rest.
    workers.stop();
    loops.disposeLater(Duration.ZERO, LOOPS_STOP).onErrorComplete().block();
    disk.close();
  }

  /** Learns the addresses of nodes before their messages are handled. */
  private final class AddressLearner implements PeerHandler {
    @Override
    public void receive(String peer, Object message) {
      if (message instanceof NodeHeartbeat heartbeat) {
        heardNodes.put(peer, new PeerAddress(heartbeat.node().host(), heartbeat.node().port()));
      }
      node.receive(peer, message);
    }

    @Override
    public void linkLost(String peer) {
      node.linkLost(peer);
    }
  }
}
