package org.streamcourse.request.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.streamcourse.connection.backend.MemberConnector;
import org.streamcourse.connection.backend.MemberMonitor;
import org.streamcourse.connection.backend.MemberPool;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.backend.PoolSettings;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.AwaitReceived;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.PositionReply;
import org.streamcourse.request.StreamMessage.PositionRequest;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.ReceivedReport;
import org.streamcourse.request.StreamMessage.Refusal;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.MemberOrderResult;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;

/**
 * This node's gateway to one member: the connections, the member's last known status, and the
 * admission of units. Exists as long as the node has an allowance for the member.
 *
 * <p>All methods run on the gateway's worker, except {@link #pool()}.
 */
public final class MemberGateway {
  /** Receives the decision whether a unit may run. */
  interface Admission {
    void admitted();

    void refused(Refusal refusal);
  }

  private static final int MONITOR_CONNECTIONS = 1;

  private final Worker worker;
  private final PeerNetwork network;
  private final NodeAgent agent;
  private final GatewaySettings settings;
  private final MemberMonitor monitor;
  private final MemberPool pool;
  private final CommitAcknowledger acknowledger;
  private final ReceivedWatch receivedWatch;
  private final List<AdmissionWait> admissionWaits = new ArrayList<>();
  private final FreshnessTracker freshness;

  /** HOLD_WRITES orders that are answered once the open writes have ended. */
  private final List<Consumer<Boolean>> awaitingDrain = new ArrayList<>();

  /** Fence orders that wait until the member has received the log position that they name. */
  private final List<Runnable> awaitingReceipt = new ArrayList<>();

  private GroupImage group;
  private MemberImage member;
  private Allowance allowance = new Allowance("", 0, 0);
  private long writesHeldUntil;
  private long writesHeldTerm;
  private int openWrites;
  private boolean wasReachable;

  /** Whether the controllers may have assigned the node's allowance to other nodes. */
  private boolean lapsed;

  MemberGateway(
      Worker worker,
      Worker agentWorker,
      PeerNetwork network,
      NodeAgent agent,
      MemberConnector connector,
      GatewaySettings settings,
      PoolSettings poolSettings,
      LongSupplier requestIds,
      GroupImage group,
      MemberImage member) {
    this.worker = worker;
    this.network = network;
    this.agent = agent;
    this.settings = settings;
    this.group = group;
    this.member = member;
    String name = group.name() + '/' + member.name();
    monitor =
        new MemberMonitor(
            worker, () -> connector.connect(group, member), poolSettings.endGraceMillis(), name);
    pool = new MemberPool(worker, () -> connector.connect(group, member), poolSettings);
    acknowledger = new CommitAcknowledger(worker, network, settings, group, member.name());
    receivedWatch = new ReceivedWatch(worker, network);
    freshness =
        new FreshnessTracker(
            worker,
            network,
            monitor,
            group,
            member.name(),
            requestIds,
            settings.requestRetryMillis(),
            this::recheckWaiting);
    monitor.onChange(() -> onMemberChange(agentWorker));
  }

  void start() {
    monitor.start();
  }

  /** Applies a new image; runs {@code applied} once the connections are within the allowance. */
  void update(GroupImage nextGroup, MemberImage nextMember, Allowance next, Runnable applied) {
    group = nextGroup;
    member = nextMember;
    acknowledger.update(nextGroup);
    freshness.update(nextGroup);
    allowance = next;
    if (lapsed) {
      lapsed = false;
      monitor.start();
    }
    Runnable released = next.connections() == 0 ? () -> monitor.stop(applied) : applied;
    limitPool(() -> worker.execute(released));
    recheckWaiting();
  }

  /**
   * Limits the pool to the allowance without the monitor's connections. With an allowance of zero
   * the monitor's connection is closed last: while transactions are open, its loss would count as
   * loss of the member.
   */
  private void limitPool(Runnable shrunk) {
    pool.setLimits(allowance.connections(), allowance.slots(), monitor.connections(), shrunk);
  }

  /**
   * Closes all connections until the next image, since the controllers may assign the node's
   * allowance to other nodes. Until then the gateway reports nothing about the member to the
   * leader.
   */
  void lapse() {
    lapsed = true;
    wasReachable = false;
    allowance = new Allowance("", 0, 0);
    limitPool(() -> {});
    pool.memberLost();
    monitor.stop(this::onMonitorStopped);
    recheckWaiting();
  }

  /** Lets the pool use the part of the allowance that the monitor's former connection has used. */
  private void onMonitorStopped() {
    if (!lapsed) {
      pool.setReserved(monitor.connections());
    }
  }

  void stop() {
    monitor.stop(() -> {});
    pool.close();
  }

  /**
   * Returns the pool of connections to the member.
   *
   * @return pool; thread-safe
   */
  public MemberPool pool() {
    return pool;
  }

  /**
   * Returns the last known status of the member.
   *
   * @return status; thread-safe
   */
  public MemberStatus status() {
    return monitor.status();
  }

  /** Queries the member for its current status; empty when the member does not answer. */
  void refreshStatus(Consumer<Optional<MemberStatus>> answer) {
    monitor.refresh(answer);
  }

  CommitAcknowledger acknowledger() {
    return acknowledger;
  }

  GatewaySettings settings() {
    return settings;
  }

  Worker worker() {
    return worker;
  }

  // ---- admission ----

  /**
   * Decides whether a unit may start. A read may wait a limited time for the member to catch up,
   * and a write for the member to become primary or for held writes to be released.
   */
  void admit(OpenStream request, Admission admission) {
    new AdmissionWait(request, admission).start();
  }

  /** Decides again without waiting, just before the unit is sent to the member. */
  Optional<Refusal> recheck(OpenStream request) {
    Optional<Refusal> refusal = refusalFor(request);
    if (refusal.isEmpty() && request.purpose() == Purpose.READ && !isFreshEnough(request)) {
      return Optional.of(Refusal.NOT_FRESH);
    }
    return refusal;
  }

  private Optional<Refusal> refusalFor(OpenStream request) {
    if (allowance.connections() <= MONITOR_CONNECTIONS
        || agent.isLeaving()
        || !agent.isConfirmed()) {
      return Optional.of(Refusal.NOT_SERVING);
    }
    if (!monitor.isReachable()) {
      return Optional.of(Refusal.UNREACHABLE);
    }
    if (request.purpose() == Purpose.READ) {
      return member.draining() ? Optional.of(Refusal.NOT_SERVING) : Optional.empty();
    }
    MemberStatus status = monitor.status();
    boolean primary =
        status.role() == MemberRole.PRIMARY
            && group.primary().equals(member.name())
            && status.term() == group.term();
    return primary && !areWritesHeld() ? Optional.empty() : Optional.of(Refusal.NOT_PRIMARY);
  }

  private boolean isFreshEnough(OpenStream request) {
    return monitor.status().applied().reaches(request.floor())
        && freshness.isFresh(request.maxStalenessMillis());
  }

  /**
   * Requests positions at each read, so that later reads need not wait for the proof of freshness.
   */
  private void refreshEvidence(OpenStream request) {
    if (request.purpose() == Purpose.READ) {
      freshness.startRoundIfDue(request.maxStalenessMillis());
    }
  }

  /** Whether this member is about to serve as the primary that the image names. */
  private boolean isPrimarySoon() {
    return group.primary().equals(member.name()) && monitor.status().term() <= group.term();
  }

  /** Decides again on all units that wait for admission, after a change of image or status. */
  private void recheckWaiting() {
    List<AdmissionWait> due = List.copyOf(admissionWaits);
    admissionWaits.clear();
    due.forEach(AdmissionWait::check);
  }

  /** A unit that has been neither admitted nor refused yet. */
  private final class AdmissionWait {
    private final OpenStream request;
    private final Admission admission;
    private final boolean isRead;
    private boolean ended;

    AdmissionWait(OpenStream request, Admission admission) {
      this.request = request;
      this.admission = admission;
      this.isRead = request.purpose() == Purpose.READ;
    }

    void start() {
      refreshEvidence(request);
      check();
      if (!ended) {
        worker.schedule(Math.min(longestWaitMillis(), request.budgetMillis()), this::onTimeout);
      }
    }

    private long longestWaitMillis() {
      if (!isRead) {
        return settings.primaryWaitMillis();
      }
      return isBehind() ? group.rules().catchUpWaitMillis() : settings.freshnessWaitMillis();
    }

    private boolean isBehind() {
      return !monitor.status().applied().reaches(request.floor());
    }

    void check() {
      if (ended) {
        return;
      }
      Optional<Refusal> refusal = refusalFor(request);
      if (refusal.isPresent()) {
        if (refusal.get() == Refusal.NOT_PRIMARY && isPrimarySoon()) {
          admissionWaits.add(this);
        } else {
          refuse(refusal.get());
        }
      } else if (isRead && !isFreshEnough(request)) {
        admissionWaits.add(this);
      } else {
        ended = true;
        admission.admitted();
      }
    }

    private void onTimeout() {
      if (!ended) {
        admissionWaits.remove(this);
        refuse(timeoutRefusal());
      }
    }

    private Refusal timeoutRefusal() {
      if (!isRead) {
        return Refusal.NOT_PRIMARY;
      }
      return isBehind() ? Refusal.BEHIND_FLOOR : Refusal.NOT_FRESH;
    }

    private void refuse(Refusal refusal) {
      ended = true;
      admission.refused(refusal);
    }
  }

  // ---- writes ----

  void writeOpened() {
    openWrites++;
  }

  void writeClosed() {
    openWrites--;
    if (openWrites == 0) {
      List<Consumer<Boolean>> due = List.copyOf(awaitingDrain);
      awaitingDrain.clear();
      due.forEach(each -> each.accept(true));
    }
  }

  private boolean areWritesHeld() {
    return writesHeldTerm == group.term() && worker.now() < writesHeldUntil;
  }

  // ---- messages ----

  void onPositionRequest(String peer, PositionRequest request) {
    monitor.refresh(
        status ->
            network.send(
                peer,
                new PositionReply(
                    request.requestId(),
                    request.member(),
                    status.isPresent(),
                    status.orElse(MemberStatus.UNKNOWN))));
  }

  void onPositionReply(PositionReply reply) {
    freshness.onReply(reply);
  }

  void onAwaitReceived(String peer, AwaitReceived request) {
    receivedWatch.await(peer, request, monitor.status());
  }

  void onReceivedReport(ReceivedReport report) {
    acknowledger.onReport(report);
  }

  void onOrder(String leader, MemberOrder order, long holdMillis) {
    switch (order.kind()) {
      case FENCE -> fence(leader, order, worker.now() + holdMillis);
      case PROMOTE -> executeOrder(leader, order, MemberStatements.promote(order.term()));
      case FOLLOW ->
          executeOrder(leader, order, MemberStatements.follow(order.term(), order.primary()));
      case HOLD_WRITES -> holdWrites(leader, order, holdMillis);
      case RELEASE_WRITES -> {
        writesHeldUntil = 0;
        recheckWaiting();
      }
    }
  }

  /**
   * Fences the member once it has received the awaited position; drops the order at the deadline.
   */
  private void fence(String leader, MemberOrder order, long deadline) {
    if (monitor.status().received().reaches(order.awaited())) {
      executeOrder(leader, order, MemberStatements.fence(order.term()));
    } else if (worker.now() < deadline) {
      awaitingReceipt.add(() -> fence(leader, order, deadline));
    }
  }

  private void executeOrder(String leader, MemberOrder order, String statement) {
    monitor.order(statement, status -> sendOrderResult(leader, order, status));
  }

  private void holdWrites(String leader, MemberOrder order, long holdMillis) {
    writesHeldTerm = order.term();
    writesHeldUntil = worker.now() + holdMillis;
    Consumer<Boolean> drained =
        any -> monitor.refresh(status -> sendOrderResult(leader, order, status));
    if (openWrites == 0) {
      drained.accept(true);
    } else {
      awaitingDrain.add(drained);
    }
  }

  private void sendOrderResult(String leader, MemberOrder order, Optional<MemberStatus> status) {
    network.send(
        leader,
        new MemberOrderResult(
            order.orderId(),
            status.isPresent(),
            status.orElse(monitor.status()),
            status.isPresent() ? "" : "the member refused or did not answer"));
  }

  private void onMemberChange(Worker agentWorker) {
    MemberStatus status = monitor.status();
    boolean reachable = monitor.isReachable();
    if (wasReachable && !reachable) {
      pool.memberLost();
    }
    MemberReport report = new MemberReport(group.name(), member.name(), reachable, status);
    boolean urgent = wasReachable != reachable || contradictsImage(status);
    wasReachable = reachable;
    agentWorker.execute(() -> agent.report(report, urgent));
    receivedWatch.onStatusChange(status);
    List<Runnable> due = List.copyOf(awaitingReceipt);
    awaitingReceipt.clear();
    due.forEach(Runnable::run);
    recheckWaiting();
  }

  /** Whether the status contradicts the image, so that the leader has to act on it at once. */
  private boolean contradictsImage(MemberStatus status) {
    boolean isPrimary = group.primary().equals(member.name());
    return status.term() != group.term() || isPrimary != (status.role() == MemberRole.PRIMARY);
  }
}
