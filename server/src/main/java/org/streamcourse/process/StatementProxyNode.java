package org.streamcourse.process;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
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
 * A proxy for services whose members register themselves, without its sockets. Used by the process,
 * tests and the simulator.
 *
 * <p>The node serves once the controllers have confirmed an image with a routing document. If it
 * has only just started, or while no controller is reachable or elected, it serves with the image
 * that a restarted controller or another proxy had stored, which may lack the newest changes. It
 * continues to serve while it is cut off from the controllers, since log positions for read floors
 * come from the members' own answers, and a replaced primary refuses writes; but it does not report
 * a database as unknown, since it may have missed that it was added.
 *
 * <p>All methods except the getters run on the node's worker.
 */
public final class StatementProxyNode implements PeerHandler, SessionNode {
  private static final Logger LOG = LoggerFactory.getLogger(StatementProxyNode.class);

  private static final long HEALTH_CHECK_MILLIS = 100;
  private static final long SESSION_START_TIMEOUT_MILLIS = 10_000;
  private static final long RECENT_CONTACT_MILLIS = 1_000;

  /** Period of checks that are not urgent; each wake-up costs CPU time. */
  private static final long SLOW_CHECK_MILLIS = 1_000;

  private static final long UNLIMITED = Long.MAX_VALUE;

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
  private volatile boolean hasServed;
  private volatile boolean stopping;
  private boolean draining;
  private long sessionNumbers;
  private long keyTrustMillis = UNLIMITED;

  /**
   * Creates a node.
   *
   * @param worker worker that runs the whole node
   * @param network sends messages to other processes
   * @param codec codec for the control messages
   * @param controllers names of controllers
   * @param self image of this node
   * @param dialer opens connections to members
   * @param log logs decisions about statements
   * @param lastStream random id of this start of the process, also used for quotas; relayed streams
   *     are numbered upwards from it, far from the numbers of other starts
   * @param quotaSettings settings for tenant limits
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
    this.relayServer =
        new RelayServer(worker, network, table::held, this::transactionIdleMillis, log);
    this.agent =
        new NodeAgent(
            worker,
            network,
            new NoDisk(),
            codec,
            ControlSettings.DEFAULT,
            controllers,
            self,
            lastStream);
    this.ownQuotas =
        new TenantQuotas(
            worker,
            QuotaPacing.of(quotaSettings.windowMillis()),
            self.name(),
            lastStream,
            () -> agent.wasConfirmedWithin(QuotaPlanner.HOLD_MILLIS),
            agent::sendToController);
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
    agent.onConfirmed(quotas::confirmed);
    agent.setSessionCount(sessions::size);
    agent.setHeartbeatPreparation(this::reportAllMembers);
  }

  /**
   * Sets how long after the controllers' last confirmation keys are still checked against the
   * document in force. Without a limit, the document is used for as long as the node runs.
   *
   * @param millis time in milliseconds; must be set before the node starts
   */
  public void setKeyTrustMillis(long millis) {
    keyTrustMillis = millis;
  }

  /** Starts heartbeats and the periodic checks of members, streams and quotas. */
  public void start() {
    worker.execute(agent::start);
    worker.repeat(HEALTH_CHECK_MILLIS, this::checkMembers);
    worker.repeat(SLOW_CHECK_MILLIS, this::runSlowChecks);
  }

  private long transactionIdleMillis() {
    return image().document().limits().transactionIdleMillis();
  }

  private void checkMembers() {
    table.checkHealth();
    relayClient.check();
    quotas.check();
    if (agent.isCutOff()) {
      peerProber.probeNext(image());
    }
  }

  private void runSlowChecks() {
    relayServer.check();
    log.logDropped();
  }

  private void reportAllMembers() {
    table.services().forEach(this::reportMembers);
  }

  /** Reports members that are unreachable or responded recently; withdraws other reports. */
  private void reportMembers(String service, ServiceMembers members) {
    for (MemberLinks links : members.all()) {
      String member = links.member().id().value();
      boolean respondedRecently = worker.now() - links.lastResponseMillis() < RECENT_CONTACT_MILLIS;
      if (links.isUnreachable() || respondedRecently) {
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
   * Returns whether the platform should send callers to this node.
   *
   * @return true while the node serves and is not stopping; callable from any thread
   */
  public boolean isReady() {
    return isServing() && !stopping;
  }

  /**
   * Opens the session of a caller's connection.
   *
   * @param channel channel to the caller
   * @return session
   */
  public ClientSession open(ClientChannel channel) {
    sessionNumbers++;
    ClientSession session = new ClientSession(this, channel, sessionNumbers);
    sessions.add(session);
    worker.schedule(SESSION_START_TIMEOUT_MILLIS, session::endUnlessStarted);
    if (draining) {
      // The session would still be open when the process exits; its caller retries at another node.
      session.drain();
    }
    return session;
  }

  /** Makes {@link #isReady} return false from now on. */
  public void beginStop() {
    stopping = true;
  }

  /** Ends each present and future session as soon as it has no open statement or transaction. */
  public void drainSessions() {
    draining = true;
    relayServer.stopAccepting();
    List.copyOf(sessions).forEach(ClientSession::drain);
  }

  /**
   * Refuses statements of all sessions from now on, but for the end of an open transaction, and
   * further statements of other nodes' transactions.
   *
   * @param exitMillis worker time at which the process exits
   */
  public void refuseStatements(long exitMillis) {
    LOG.info(
        "refuses statements during the stop {} {} {}",
        keyValue("idleTransactions", count(ClientSession::hasIdleTransaction)),
        keyValue("runningTransactions", count(ClientSession::hasRunningTransaction)),
        keyValue("relayedStreams", relayServer.streams()));
    sessions.forEach(session -> session.refuseStatements(exitMillis));
    relayServer.refuseSteps();
  }

  /** Answers all statements that have no answer yet, and ends all sessions and relayed streams. */
  public void terminate() {
    LOG.info(
        "ends sessions during the stop {} {}",
        keyValue("sessions", sessions.size()),
        keyValue("idleTransactions", count(ClientSession::hasIdleTransaction)));
    List.copyOf(sessions).forEach(ClientSession::terminate);
    relayServer.endStreams();
  }

  private long count(Predicate<ClientSession> condition) {
    return sessions.stream().filter(condition).count();
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
   * Returns the number of other nodes' statements and transactions on this node's member links.
   *
   * @return streams
   */
  public int relayedStreams() {
    return relayServer.streams();
  }

  /**
   * Sums a value over the member links to all members.
   *
   * @param figure value for the links to one member
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

  // ---- SessionNode ----

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
    // Once a node serves it goes on, also when a controller becomes reachable again.
    hasServed = hasServed || agent.mayServe();
    return hasServed && image().document().isPresent();
  }

  @Override
  public boolean isConfirmed() {
    return agent.isConfirmed();
  }

  @Override
  public boolean hasConfirmedKeys() {
    return keyTrustMillis == UNLIMITED || agent.wasConfirmedWithin(keyTrustMillis);
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
    agent.requestImageFrom(peer);
    if (relayed.isForHolder()) {
      relayServer.receive(peer, relayed);
    } else {
      relayClient.receive(peer, relayed);
    }
  }

  /** A lost link to a controller needs no handling: missing heartbeat replies reveal it. */
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
