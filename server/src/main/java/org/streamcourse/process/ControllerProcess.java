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

/** A controller process: a {@link ControllerNode} with sockets, disk and threads. */
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

  /** Addresses from nodes' heartbeats, including those of nodes that are not admitted yet. */
  private final Map<String, PeerAddress> nodeAddresses = new ConcurrentHashMap<>();

  private CallerPort adminPort;

  /**
   * Creates the process's components.
   *
   * @param settings validated settings
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
            ProxyProcess.LINK_TIMEOUT);
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
            AgreementSettings.DEFAULT.withMemory(MemoryLimits.ofThisProcess()),
            ControlSettings.DEFAULT,
            new SecureRandom(),
            FirstNumber.random());
    platformList = new PlatformList(workers.get(), node::onPlatformList);
    metrics.gauge(
        "streamcourse_leader",
        "1 while this controller is the leader, else 0.",
        () -> node.controller().agreement().isLeader() ? 1 : 0);
    metrics.gauge(
        "streamcourse_commit_index",
        "Index of the last committed log entry.",
        () -> node.controller().agreement().commitIndex());
    node.memory().addTo(metrics);
    metrics.peerNetwork(network);
    metrics.gauge("streamcourse_link_sent_bytes", "Bytes sent on peer links.", network::sentBytes);
    metrics.gauge(
        "streamcourse_link_received_bytes",
        "Bytes received on peer links.",
        network::receivedBytes);
  }

  private PeerAddress addressOf(String peer) {
    HostPort route = routes.get(peer);
    if (route == null) {
      route = CommonSettings.addressOf(settings.controllers(), peer);
    }
    return route == null ? nodeAddresses.get(peer) : new PeerAddress(route.host(), route.port());
  }

  /** Starts all components. */
  public void start() {
    FatalErrors.install();
    network.start(settings.links().host(), settings.links().port(), new AddressLearner());
    node.start();
    platformList.start(settings.platformList());
    adminPort =
        AdminPort.open(settings.admin(), settings.operators(), loops, workers, node.router());
    metrics.start(settings.metrics());
    LOG.info("controller {} accepts operators at {}", settings.name(), settings.admin());
  }

  /** Stops all components. The log needs no flush, since every append is synced. */
  public void stop() {
    platformList.stop();
    node.stop();
    adminPort.stop();
    metrics.stop();
    network.stop();
    // Workers stop first: messages that they still send would delay the event loops' shutdown.
    workers.stop();
    loops.disposeLater(Duration.ZERO, LOOPS_STOP).onErrorComplete().block();
    disk.close();
  }

  /** Records the address of a node from its heartbeat before the message is handled. */
  private final class AddressLearner implements PeerHandler {
    @Override
    public void receive(String peer, Object message) {
      if (message instanceof NodeHeartbeat heartbeat) {
        nodeAddresses.put(peer, new PeerAddress(heartbeat.node().host(), heartbeat.node().port()));
      }
      node.receive(peer, message);
    }

    @Override
    public void linkLost(String peer) {
      node.linkLost(peer);
    }
  }
}
