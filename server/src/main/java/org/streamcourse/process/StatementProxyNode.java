package org.streamcourse.process;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.relay.PeerProber;
import org.streamcourse.connection.relay.RelayClient;
import org.streamcourse.connection.relay.RelayMessage;
import org.streamcourse.connection.relay.RelayServer;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.connection.session.ClientSession;
import org.streamcourse.connection.session.SessionNode;
import org.streamcourse.request.quota.QuotaClient;
import org.streamcourse.request.quota.QuotaMessage;
import org.streamcourse.request.quota.QuotaPacing;
import org.streamcourse.request.quota.QuotaServerOrder;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.quota.TenantQuotas;
import org.streamcourse.request.routing.MemberTable;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.routing.ServiceMembers;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.QuotaNews;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.control.QuotaPlanner;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.TermPosition;

/**
 * A proxy for services whose members register themselves, without its sockets. The process, tests
 * and the simulator use this class.
 *
 * <p>It serves once the controllers have confirmed an image with a routing document, or one that
 * has just started too, or another proxy, has told what it had stored. It goes on serving when it
 * is cut off from them: what a read must have seen is shown by the members themselves, and a
 * replaced primary refuses.
 *
 * <p>All methods but the queries run on the node's worker.
 */
public final class StatementProxyNode implements PeerHandler, SessionNode {
  private static final long HEALTH_MILLIS = 100;
  private static final long BEGIN_MILLIS = 10_000;
  private static final long HEARD_LATELY_MILLIS = 1_000;

  /** Time between looks at what need not be noticed sooner; each wake-up costs processor time. */
  private static final long SECOND_MILLIS = 1_000;

  private static final long NO_END = Long.MAX_VALUE;

  private final Worker worker;
  private final NodeAgent agent;
  private final MemberTable table;
  private final RequestLog log;
  private final RelayClient relayClient;
  private final RelayServer relayServer;
  private final PeerProber peerProber;
  private final TenantQuotas ownQuotas;
  private final QuotaClient quotas;
  private final Set<ClientSession> sessions = new LinkedHashSet<>();
  private volatile boolean mayServe;
  private volatile boolean stopping;
  private boolean draining;
  private long sessionNumbers;
  private long keyTrustMillis = NO_END;

  /**
   * Wires a node.
   *
   * @param worker the one worker of the node
   * @param network way to the controllers
   * @param codec codec that knows the control messages
   * @param controllers names of controllers
   * @param self this node
   * @param dialer opens connections to members
   * @param log tells what is decided about statements
   * @param lastStream number below those of this run's relayed streams, far from those of other
   *     runs
   * @param quotaSettings how limits of tenants are counted
   */
  public StatementProxyNode(
      Worker worker,
      PeerNetwork network,
      MessageCodec codec,
      List<String> controllers,
      NodeImage self,
      MemberDialer dialer,
      RequestLog log,
      long lastStream,
      QuotaSettings quotaSettings) {
    this.worker = worker;
    this.log = log;
    this.relayClient = new RelayClient(worker, network, lastStream);
    this.table = new MemberTable(worker, dialer, relayClient, self);
    this.peerProber = new PeerProber(self.name(), relayClient::sendPing);
    this.relayServer = new RelayServer(worker, network, table::held, this::longestRestMillis, log);
    this.agent =
        new NodeAgent(
            worker, network, new NoDisk(), codec, ControlSettings.DEFAULT, controllers, self);
    this.ownQuotas =
        new TenantQuotas(
            worker,
            QuotaPacing.of(quotaSettings.windowMillis()),
            self.name(),
            lastStream,
            () -> agent.wasConfirmedWithin(QuotaPlanner.HOLD_MILLIS),
            agent::tellController);
    this.quotas =
        new QuotaClient(
            worker,
            network,
            ownQuotas,
            self.name(),
            new QuotaServerOrder(QuotaServerOrder.Scope.REGION, self.placement()),
            agent::image,
            lastStream);
    table.onHealthChange(this::reportAllMembers);
    table.setObservationListener(relayServer::sendObservation);
    agent.onImage(table::update);
    agent.onConfirmed(() -> mayServe = true);
    agent.onConfirmed(quotas::confirmed);
    agent.onStoredImage(() -> mayServe = true);
    agent.countSessions(sessions::size);
    agent.beforeHeartbeat(this::reportAllMembers);
  }

  /**
   * Sets how long after the last confirmation keys are still checked by the document in force;
   * without it for as long as the node runs.
   *
   * @param millis time in milliseconds; to be set before the start
   */
  public void trustKeysFor(long millis) {
    keyTrustMillis = millis;
  }

  /** Starts heartbeats and the care for members. */
  public void start() {
    worker.execute(agent::start);
    worker.repeat(HEALTH_MILLIS, this::checkMembers);
    worker.repeat(SECOND_MILLIS, this::lookAfterTheRest);
  }

  private long longestRestMillis() {
    return image().document().limits().transactionIdleMillis();
  }

  private void checkMembers() {
    table.checkHealth();
    relayClient.check();
    quotas.check();
    if (agent.isCutOff()) {
      peerProber.takeTurn(image());
    }
  }

  private void lookAfterTheRest() {
    relayServer.check();
    log.tellDropped();
  }

  private void reportAllMembers() {
    table.services().forEach(this::reportMembers);
  }

  /** A member of which nothing was heard lately, and of which nothing was asked, is not told of. */
  private void reportMembers(String service, ServiceMembers members) {
    for (MemberLinks links : members.all()) {
      String member = links.member().id().value();
      boolean heardLately = worker.now() - links.lastHeardMillis() < HEARD_LATELY_MILLIS;
      if (links.isUnreachable() || heardLately) {
        TermPosition position = members.position(links.member().id());
        MemberStatus status =
            new MemberStatus(position.term(), MemberRole.REPLICA, "", position, position, position);
        agent.report(
            new MemberReport(service, member, !links.isUnreachable(), status),
            links.isUnreachable());
      } else {
        agent.withdrawReport(service, member);
      }
    }
  }

  /**
   * Tells whether callers should be sent here.
   *
   * @return true while it serves and does not stop; safe from any thread
   */
  public boolean isReady() {
    return isServing() && !stopping;
  }

  /**
   * Opens the session of a caller's connection.
   *
   * @param channel way to the caller
   * @return session
   */
  public ClientSession open(ClientChannel channel) {
    sessionNumbers++;
    ClientSession session = new ClientSession(this, channel, sessionNumbers);
    sessions.add(session);
    worker.schedule(BEGIN_MILLIS, session::endUnlessStarted);
    if (draining) {
      // It would still be open when the process ends; its caller asks another node.
      session.drain();
    }
    return session;
  }

  /** Tells from now on that it is not ready. */
  public void beginStop() {
    stopping = true;
  }

  /** Ends each session, and each that is opened later, as soon as nothing is open in it. */
  public void drainSessions() {
    draining = true;
    relayServer.stopTaking();
    List.copyOf(sessions).forEach(ClientSession::drain);
  }

  /** Gives up the transactions that rest. */
  public void abandonTransactions() {
    List.copyOf(sessions).forEach(ClientSession::abandon);
  }

  /**
   * Returns the number of open sessions.
   *
   * @return sessions
   */
  public int openSessions() {
    return sessions.size();
  }

  /**
   * Returns the number of other nodes' statements and transactions that run over this node's links.
   *
   * @return streams
   */
  public int relayedStreams() {
    return relayServer.streams();
  }

  /**
   * Adds up a figure of the links to all members.
   *
   * @param figure figure of the links to one member
   * @return sum
   */
  public long sumOverMembers(ToLongFunction<MemberLinks> figure) {
    return table.services().values().stream()
        .flatMap(members -> members.all().stream())
        .mapToLong(figure)
        .sum();
  }

  /**
   * Returns the node's agent.
   *
   * @return agent
   */
  public NodeAgent agent() {
    return agent;
  }

  // ---- what sessions share ----

  @Override
  public Worker worker() {
    return worker;
  }

  @Override
  public MemberTable members() {
    return table;
  }

  @Override
  public RequestLog log() {
    return log;
  }

  @Override
  public QuotaClient quotas() {
    return quotas;
  }

  @Override
  public ClusterImage image() {
    return agent.image();
  }

  @Override
  public boolean isServing() {
    return mayServe && image().document().isPresent();
  }

  @Override
  public boolean hasConfirmedKeys() {
    return keyTrustMillis == NO_END || agent.wasConfirmedWithin(keyTrustMillis);
  }

  @Override
  public void ended(ClientSession session) {
    sessions.remove(session);
  }

  // ---- peers ----

  @Override
  public void receive(String peer, Object message) {
    worker.execute(() -> handle(peer, message));
  }

  private void handle(String peer, Object message) {
    if (message instanceof QuotaNews news) {
      ownQuotas.receive(news);
      return;
    }
    if (message instanceof QuotaMessage quotaMessage) {
      quotas.receive(peer, quotaMessage);
      return;
    }
    if (!(message instanceof RelayMessage relayed)) {
      agent.receive(peer, message);
      return;
    }
    agent.askForImage(peer);
    if (relayed.isForHolder()) {
      relayServer.receive(peer, relayed);
    } else {
      relayClient.receive(peer, relayed);
    }
  }

  /** For controllers, the missing answers to heartbeats tell the same. */
  @Override
  public void linkLost(String peer) {
    worker.execute(
        () -> {
          relayClient.linkLost(peer);
          relayServer.linkLost(peer);
          quotas.linkLost(peer);
        });
  }

  @Override
  public void undelivered(String peer, List<Object> messages) {
    worker.execute(
        () -> {
          relayClient.undelivered(peer, messages);
          quotas.undelivered(peer, messages);
        });
  }
}
