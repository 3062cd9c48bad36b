package org.streamcourse.process;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.member.MemberProtocol;
import org.streamcourse.connection.member.TcpMemberDialer;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.connection.session.PreboundPort;
import org.streamcourse.connection.session.SessionPort;
import org.streamcourse.connection.session.SessionProtocol;
import org.streamcourse.process.settings.StatementProxySettings;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;

/** A proxy process for services whose members register themselves. */
public final class StatementProxyProcess {
  private static final Logger LOG = LoggerFactory.getLogger(StatementProxyProcess.class);

  /**
   * Incarnation number of every start of the process. A node without a data folder stores nothing
   * that a later start could conflict with, so the number needs neither to increase nor a clock.
   */
  private static final long ONLY_INCARNATION = 1;

  /** Fraction of the revocation time for which keys are accepted without a confirmation. */
  private static final double REVOCATION_SHARE = 0.8;

  private static final Duration LOOP_STOP = Duration.ofMillis(50);

  /** Time for which the event loop may take to run a task during a stop. */
  private static final long LOOP_TIMEOUT_MILLIS = 1_000;

  private final StatementProxySettings settings;
  private final SingleLoop loop = new SingleLoop();
  private final TcpPeerNetwork network;
  private final StatementProxyNode node;
  private final SessionPort port;
  private final MetricsEndpoint metrics;

  /**
   * Creates the process's components.
   *
   * @param settings validated settings
   * @param sessionProtocol protocol of the callers
   * @param memberProtocol protocol of the members
   */
  public StatementProxyProcess(
      StatementProxySettings settings,
      SessionProtocol sessionProtocol,
      MemberProtocol memberProtocol) {
    this.settings = settings;
    MessageCodec codec = StreamTypes.codec();
    String name = settings.links().toString();
    network =
        new TcpPeerNetwork(
            name,
            codec,
            new FleetKey(settings.fleetKey()),
            loop,
            ControllerAddresses::addressOf,
            ControllerAddresses.LINK_TIMEOUT);
    Placement placement = new Placement(settings.region(), settings.zone());
    network.setPlacement(placement);
    Worker worker = loop.worker();
    NodeImage self =
        new NodeImage(
            name,
            ONLY_INCARNATION,
            settings.links().host(),
            settings.links().port(),
            placement,
            false);
    RequestLog log =
        new RequestLog(
            new LineBudget(settings.linesPerSecond(), worker::now), settings.sampleEvery());
    node =
        new StatementProxyNode(
            worker,
            network,
            codec,
            ControllerAddresses.names(settings.controllerSeeds(), settings.controllerLinkPort()),
            self,
            new TcpMemberDialer(loop.group(), memberProtocol),
            log,
            FirstNumber.random(),
            settings.quotas());
    if (settings.revocationMillis() != null) {
      node.setKeyTrustMillis(Math.round(settings.revocationMillis() * REVOCATION_SHARE));
    }
    port = new SessionPort(sessionProtocol, node::open);
    metrics = settings.metrics() == null ? null : metrics(log);
  }

  private MetricsEndpoint metrics(RequestLog log) {
    MetricsEndpoint endpoint = new MetricsEndpoint();
    endpoint.peerNetwork(network);
    log.observe(new StatementMetrics(endpoint, node, log));
    return endpoint;
  }

  /**
   * Starts all components.
   *
   * @param callersPort port for callers if it is open already
   */
  public void start(Optional<PreboundPort> callersPort) {
    FatalErrors.install();
    network.start(settings.links().host(), settings.links().port(), node);
    node.start();
    port.start(settings.sessions().host(), settings.sessions().port(), loop, callersPort);
    if (metrics != null) {
      metrics.start(settings.metrics());
    }
    LOG.info("proxy {} accepts callers at {}", settings.name(), settings.sessions());
  }

  /**
   * Returns whether the platform should send callers to this node.
   *
   * @return true while the node serves and is not stopping
   */
  public boolean isReady() {
    return node.isReady();
  }

  /**
   * Returns the event loop, for other ports of the process.
   *
   * @return loop
   */
  public SingleLoop loop() {
    return loop;
  }

  /**
   * Applies changed settings. Only the list of controllers can change while the process runs.
   *
   * @param changed new settings
   */
  public void reload(StatementProxySettings changed) {
    LOG.info("settings reloaded: controllers {}", changed.controllerSeeds());
    node.agent()
        .setSeeds(
            ControllerAddresses.names(changed.controllerSeeds(), changed.controllerLinkPort()));
  }

  /** Stops within the grace period; see {@link StatementProxyStop} for the steps. */
  public void stop() throws InterruptedException {
    long graceMillis = TimeUnit.SECONDS.toMillis(settings.graceSeconds());
    long killedAt = node.worker().now() + graceMillis;
    LOG.info("stops with {} open sessions", node.openSessions());
    AtomicReference<StatementProxyStop> stop = new AtomicReference<>();
    AtomicBoolean done = new AtomicBoolean();
    onLoop(() -> stop.set(new StatementProxyStop(node, graceMillis)));
    while (!done.get() && node.worker().now() < killedAt) {
      TimeUnit.MILLISECONDS.sleep(StatementProxyStop.POLL_MILLIS);
      onLoop(() -> done.set(stop.get().advance()));
    }
    LOG.info("stopped with {} open sessions", node.openSessions());
    // Peers read the last answers before they find the links closed.
    TimeUnit.MILLISECONDS.sleep(StatementProxyStop.POLL_MILLIS);
    port.stop();
    network.stop();
    loop.disposeLater(Duration.ZERO, LOOP_STOP).onErrorComplete().block();
  }

  private void onLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    node.worker()
        .execute(
            () -> {
              task.run();
              done.countDown();
            });
    done.await(LOOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
