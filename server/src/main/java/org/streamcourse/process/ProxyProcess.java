package org.streamcourse.process;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.backend.PoolSettings;
import org.streamcourse.connection.backend.TcpMemberConnector;
import org.streamcourse.connection.frontend.CallerSessions;
import org.streamcourse.connection.frontend.FrontendSettings;
import org.streamcourse.connection.frontend.ScramVerifier;
import org.streamcourse.connection.peer.PeerAddress;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.process.settings.CommonSettings;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.process.settings.ProxySettings;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.edge.EdgeSettings;
import org.streamcourse.request.edge.ReadRouter;
import org.streamcourse.request.gateway.GatewaySettings;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import reactor.netty.resources.LoopResources;

/** A proxy process: a {@link ProxyNode} with sockets, disk and threads. */
public final class ProxyProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ProxyProcess.class);
  private static final long LOGIN_TIMEOUT_MILLIS = 10_000;
  private static final long FLOOR_TIMEOUT_MILLIS = 4_000;
  private static final int MAX_QUEUED_BYTES = 1024 * 1024;

  /** Exceeds the time that a pool waits for a member to close its connections. */
  private static final long HANDOVER_MILLIS = PoolSettings.DEFAULT_END_GRACE_MILLIS + 5_000;

  private static final Duration LOOPS_STOP = Duration.ofSeconds(2);
  private static final int IO_THREADS = 4;

  /**
   * A link is considered stuck, and a new one is opened, if its peer sends nothing for this long
   * after a write. The value exceeds the time without messages after which an edge abandons a
   * gateway's streams (3,500 ms), so replacing a link loses no stream; nodes with open streams
   * exchange messages every 1,000 ms.
   */
  static final Duration LINK_TIMEOUT =
      Duration.ofMillis(EdgeSettings.DEFAULT.gatewaySilenceMillis() + 500);

  private final ProxySettings settings;
  private final WorkerPool workers;
  private final LoopResources loops;
  private final TcpPeerNetwork network;
  private final ProxyNode node;
  private final CallerSessions sessions;
  private final FrontendSettings frontendSettings;
  private final MetricsEndpoint metrics = new MetricsEndpoint();
  private final Map<String, HostPort> routes;
  private CallerPort callers;

  /**
   * Creates the process's components.
   *
   * @param settings validated settings
   */
  public ProxyProcess(ProxySettings settings) {
    this.settings = settings;
    routes = CommonSettings.table(settings.routes());
    workers = new WorkerPool("worker", settings.workers());
    loops = LoopResources.create("io", IO_THREADS, false);
    MessageCodec codec = StreamTypes.codec();
    FleetKey key = new FleetKey(settings.fleetKey());
    network = new TcpPeerNetwork(settings.name(), codec, key, loops, this::addressOf, LINK_TIMEOUT);
    Placement placement = new Placement(settings.region(), settings.zone());
    network.setPlacement(placement);
    NodeImage self =
        new NodeImage(
            settings.name(),
            System.currentTimeMillis(),
            settings.links().host(),
            settings.links().port(),
            placement,
            false);
    TcpMemberConnector connector =
        new TcpMemberConnector(
            loops, settings.memberUser(), settings.memberPassword(), this::memberAddress);
    node =
        new ProxyNode(
            self,
            workers,
            workers.get(),
            network,
            new FolderDisk(Path.of(settings.dataFolder())),
            codec,
            settings.controllers().stream().map(CommonSettings.Peer::name).toList(),
            connector,
            nodeSettings(),
            key,
            new SecureRandom());
    frontendSettings = frontendSettings();
    sessions = new CallerSessions(workers, node.edge(), frontendSettings);
    addMetrics();
  }

  private ProxyNode.Settings nodeSettings() {
    EdgeSettings defaults = EdgeSettings.DEFAULT;
    EdgeSettings edge =
        new EdgeSettings(
            settings.readBudgetMillis(),
            settings.writeBudgetMillis(),
            defaults.gatewaySilenceMillis(),
            defaults.replacedGraceMillis(),
            defaults.keepAliveMillis(),
            defaults.floorRetryMillis());
    PoolSettings pool =
        new PoolSettings(
            settings.warmConnections(),
            PoolSettings.DEFAULT.maxWaiting(),
            settings.maxQueueMillis(),
            PoolSettings.DEFAULT.connectRetryMillis(),
            PoolSettings.DEFAULT.endGraceMillis());
    pool.validate();
    return new ProxyNode.Settings(
        ControlSettings.DEFAULT,
        GatewaySettings.DEFAULT,
        pool,
        edge,
        policy(settings.readPolicy()));
  }

  /**
   * Returns the read policy with a given name in settings.
   *
   * @param name such as {@code nearest-fresh}
   * @return policy
   */
  public static ReadRouter.Policy policy(String name) {
    try {
      return ReadRouter.Policy.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS,
          "read-settings",
          "",
          "field 'readPolicy': '"
              + name
              + "' is not one of nearest-fresh, primary-only, round-robin",
          0,
          e);
    }
  }

  private FrontendSettings frontendSettings() {
    Map<String, ScramVerifier> users = new TreeMap<>();
    settings.users().forEach(user -> users.put(user.name(), ScramVerifier.of(user.password())));
    return new FrontendSettings(
        LOGIN_TIMEOUT_MILLIS,
        settings.maxRequestBytes(),
        MAX_QUEUED_BYTES,
        FLOOR_TIMEOUT_MILLIS,
        users);
  }

  private void addMetrics() {
    metrics.peerNetwork(network);
    metrics.gauge("streamcourse_sessions", "Sessions of logged-in callers.", sessions::count);
    metrics.gauge(
        "streamcourse_edge_streams",
        "Requests and transactions that are running.",
        node.edge()::openStreams);
    metrics.gauge(
        "streamcourse_gateway_streams",
        "Open streams of all edges at this node's gateways.",
        node.gateways()::openStreams);
    metrics.gauge(
        "streamcourse_member_connections",
        "Connections of this node's pools to members.",
        node.gateways()::connections);
    metrics.gauge(
        "streamcourse_replica_reads", "Reads that replicas answered.", node.edge()::replicaReads);
    metrics.gauge(
        "streamcourse_primary_reads", "Reads that primaries answered.", node.edge()::primaryReads);
    metrics.gauge(
        "streamcourse_image_version",
        "Version of the image in force.",
        () -> node.agent().image().version());
    metrics.gauge(
        "streamcourse_confirmed",
        "1 while the controllers confirm this node, else 0.",
        () -> node.agent().isConfirmed() ? 1 : 0);
    metrics.gauge(
        "streamcourse_retries_denied",
        "Retries denied by the retry budget.",
        node.edge().retryBudget()::denied);
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
    if (route != null) {
      return new PeerAddress(route.host(), route.port());
    }
    return node.agent()
        .image()
        .node(peer)
        .map(found -> new PeerAddress(found.host(), found.port()))
        .orElse(null);
  }

  private PeerAddress memberAddress(GroupImage group, MemberImage member) {
    HostPort route = routes.get(group.name() + '/' + member.name());
    return route == null
        ? new PeerAddress(member.host(), member.port())
        : new PeerAddress(route.host(), route.port());
  }

  /** Starts all components. */
  public void start() {
    FatalErrors.install();
    network.start(settings.links().host(), settings.links().port(), node);
    node.agent().setSessionCount(sessions::count);
    node.start();
    callers = new CallerPort(settings.callers(), loops, workers, frontendSettings, sessions);
    metrics.start(settings.metrics());
    LOG.info("proxy {} accepts callers at {}", settings.name(), settings.callers());
  }

  /**
   * Stops without interrupting a request: callers' sessions end as they become idle, the node's
   * allowances move to other nodes, then all components stop.
   */
  public void stop() {
    LOG.info("proxy {} is stopping", settings.name());
    sessions.drain();
    PlannedStop.Limits limits =
        new PlannedStop.Limits(
            TimeUnit.SECONDS.toMillis(settings.drainSeconds()),
            HANDOVER_MILLIS,
            ControlSettings.DEFAULT.confirmationMillis());
    PlannedStop stop = new PlannedStop(node, sessions, limits, monotonicMillis());
    try {
      while (!stop.advance(monotonicMillis())) {
        TimeUnit.MILLISECONDS.sleep(PlannedStop.POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    callers.stop();
    metrics.stop();
    node.stop();
    network.stop();
    // Workers stop first: messages that they still send would delay the event loops' shutdown.
    workers.stop();
    loops.disposeLater(Duration.ZERO, LOOPS_STOP).onErrorComplete().block();
    LOG.info("proxy {} has stopped", settings.name());
  }

  private static long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
