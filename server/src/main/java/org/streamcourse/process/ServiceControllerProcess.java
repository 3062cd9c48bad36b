package org.streamcourse.process;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.http.RequestBodies;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.connection.member.MemberProtocol;
import org.streamcourse.connection.member.TcpMemberDialer;
import org.streamcourse.connection.member.TcpMemberProbe;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.process.logging.LogQueue;
import org.streamcourse.process.settings.ServiceControllerSettings;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.MemberProbe;
import org.streamcourse.version.control.PromotionAgent;
import org.streamcourse.version.control.ServiceAgents;
import org.streamcourse.version.control.ServiceCall;

/** A controller process for services whose members register themselves. */
public final class ServiceControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceControllerProcess.class);
  private static final Duration LOOP_STOP = Duration.ofMillis(200);

  private final ServiceControllerSettings settings;
  private final SingleLoop loop;
  private final WorkerPool workers = new WorkerPool("controller", 1);
  private final TcpPeerNetwork network;
  private final FolderDisk disk;
  private final ControllerNode node;
  private final MetricsEndpoint metrics;
  private final MemoryLimits limits = MemoryLimits.ofThisProcess();
  private final ByteBudget heldBodies = new ByteBudget(limits.callsBytes());
  private CallerPort adminPort;

  /**
   * Creates the process's components.
   *
   * @param settings validated settings
   * @param loop event loop of the process
   * @param promotionAgent agent that promotes members
   * @param memberProtocol protocol of the members
   */
  public ServiceControllerProcess(
      ServiceControllerSettings settings,
      SingleLoop loop,
      PromotionAgent promotionAgent,
      MemberProtocol memberProtocol) {
    this.settings = settings;
    this.loop = loop;
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
    network.setPlacement(settings.placement());
    disk = new FolderDisk(Path.of(settings.dataFolder()));
    node =
        new ControllerNode(
            name,
            ControllerAddresses.names(settings.controllerSeeds(), settings.links().port()),
            settings.bootstrap(),
            workers.get(),
            network,
            disk,
            codec,
            AgreementSettings.DEFAULT.withMaxVoters(settings.maxVoters()).withMemory(limits),
            ControlSettings.DEFAULT.withQuotas(settings.quotas()),
            new SecureRandom(),
            FirstNumber.random(),
            new ServiceAgents(promotionAgent, probe(loop, memberProtocol)));
    node.controller().setPlacement(settings.placement());
    metrics = settings.metrics() == null ? null : metrics();
  }

  private static MemberProbe probe(SingleLoop loop, MemberProtocol protocol) {
    MemberDialer dialer = new TcpMemberDialer(loop.group(), protocol);
    return new TcpMemberProbe(loop.worker(), dialer, protocol);
  }

  private MetricsEndpoint metrics() {
    MetricsEndpoint endpoint = new MetricsEndpoint();
    endpoint.gauge(
        "streamcourse_leader",
        "1 while this controller is the leader, else 0.",
        () -> node.controller().agreement().isLeader() ? 1 : 0);
    endpoint.gauge(
        "streamcourse_commit_index",
        "Index of the last committed log entry.",
        () -> node.controller().agreement().commitIndex());
    endpoint.gauge(
        "streamcourse_image_version",
        "Version of the agreed image.",
        () -> node.controller().image().version());
    endpoint.gauge(
        "streamcourse_document_version",
        "Version of the agreed routing document, -1 without one.",
        () -> node.controller().image().document().version());
    node.memory().addTo(endpoint);
    endpoint.limitedBytes(
        "streamcourse_request_bodies",
        "Bodies of calls that are not answered",
        limits.callsBytes(),
        heldBodies::used);
    endpoint.peerNetwork(network);
    endpoint.gauge(
        "streamcourse_log_lines_lost",
        "Log lines dropped because the queue was full.",
        LogQueue::lost);
    return endpoint;
  }

  /** Starts all components. */
  public void start() {
    FatalErrors.install();
    network.start(settings.links().host(), settings.links().port(), node);
    node.start();
    if (metrics != null) {
      metrics.start(settings.metrics());
    }
    if (settings.admin() != null) {
      adminPort =
          AdminPort.open(settings.admin(), settings.operators(), loop, workers, node.router());
    }
    LOG.info("controller {} accepts links at {}", settings.name(), settings.links());
  }

  /**
   * Returns the limits of the bodies of calls.
   *
   * @return limits of this process
   */
  public RequestBodies requestBodies() {
    return new RequestBodies(limits.documentBytes(), heldBodies);
  }

  /**
   * Executes a call of an operator or a member.
   *
   * @param call call to execute
   * @param answer receives the result, at most once, on any thread
   */
  public void call(ServiceCall call, Consumer<ServiceCall.Result> answer) {
    node.serviceCalls().execute(call, answer);
  }

  /**
   * Applies changed settings. Only the list of controllers can change while the process runs.
   *
   * @param changed new settings
   */
  public void reload(ServiceControllerSettings changed) {
    LOG.info("settings reloaded: controllers {}", changed.controllerSeeds());
    node.setControllers(
        ControllerAddresses.names(changed.controllerSeeds(), settings.links().port()));
  }

  /** Stops all components. The log needs no flush, since every append is synced. */
  public void stop() {
    LOG.info("controller {} stops", settings.name());
    node.stop();
    if (adminPort != null) {
      adminPort.stop();
    }
    network.stop();
    workers.stop();
    loop.disposeLater(Duration.ZERO, LOOP_STOP).onErrorComplete().block();
    disk.close();
  }
}
