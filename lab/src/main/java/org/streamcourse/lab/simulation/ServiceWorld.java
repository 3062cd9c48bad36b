package org.streamcourse.lab.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.lab.simulation.ServiceChecks.LogEntry;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.StatementProxyNode;
import org.streamcourse.process.Worker;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.control.PromotionAgent;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.TenantId;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A simulated fleet with a service whose members register themselves and whose primary is changed
 * by an external promotion agent, with its callers and operator, on a virtual clock.
 */
public class ServiceWorld {
  static final long STALENESS_MILLIS = 1_500;

  static final String SERVICE = "service";
  private static final int REGIONS = 3;
  private static final int CALLERS_PER_ROUTE = 3;
  private static final long CALLER_MICROS = 3_000;
  private static final double BROKEN_CONNECTION_SHARE = 0.03;
  private static final long MAX_WORK_MILLIS = 30;
  private static final long OBSERVE_MILLIS = 200;
  private static final long STABLE_CONFIRMATION_MILLIS = 4_500;
  private static final long STARTUP_MILLIS = 6_000;
  private static final long FAULTS_MILLIS = 10_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long PROGRESS_MILLIS = 4_000;
  private static final int MIN_PROGRESS = 5;
  static final QuotaSettings QUOTAS = new QuotaSettings(5_000, 0.1, 20);
  private static final double MAX_CLOCK_DRIFT = 0.02;
  private static final SimNetwork.Conditions CONDITIONS =
      new SimNetwork.Conditions(1_500, 20_000, 0.02, 0.02);

  /** A statement as its caller sent it, and the session and transaction it belongs to. */
  record SentStatement(
      RouteConsistency consistency,
      TenantId tenant,
      String key,
      String proxy,
      long session,
      Map<String, String> values,
      String transaction,
      boolean firstOfTransaction,
      long transactionSentMillis) {}

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final UniformRandomProvider random;
  private final FaultCounter faults = new FaultCounter();
  private final ServiceChecks checks = new ServiceChecks(this::nowMillis);
  private final SimNetwork network;
  private final Worker clockWorker = SchedulerWorker.onSchedulerClock(scheduler);
  private final Map<String, SimHost> hosts = new HashMap<>();
  private final SimServiceControllers controllers;
  private final Map<String, SimServiceProxy> proxies = new TreeMap<>();
  private final Map<String, SimServiceMember> members = new LinkedHashMap<>();
  private final SimServiceGroup group = new SimServiceGroup(this);
  private final SimOperator operator = new SimOperator(this);
  private final List<SimServiceCaller> callers = new ArrayList<>();
  private final Map<String, SentStatement> statements = new HashMap<>();
  private final Map<String, LogEntry> committed = new HashMap<>();
  private final Map<String, Long> confirmedSince = new HashMap<>();
  private final ServiceSize size;
  private long sessions;
  private boolean readsExpected;
  private boolean connectionsBreak;

  /**
   * Builds a fleet that does not run yet.
   *
   * @param seed seed of all random draws
   */
  public ServiceWorld(long seed) {
    this(seed, ServiceSize.DEFAULT);
  }

  /**
   * Builds a fleet that does not run yet.
   *
   * @param seed seed of all random draws
   * @param size size of the fleet
   */
  public ServiceWorld(long seed, ServiceSize size) {
    this(seed, size, new SimHooks());
  }

  /**
   * Builds a fleet that does not run yet.
   *
   * @param seed seed of all random draws
   * @param size size of the fleet
   * @param hooks components that tests replace
   */
  ServiceWorld(long seed, ServiceSize size, SimHooks hooks) {
    this.size = size;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    network = new SimNetwork(scheduler, random, World.CODEC, CONDITIONS, faults, hooks);
    controllers = new SimServiceControllers(network, random, hooks, hosts::get, group::agentsOf);
    for (int i = 0; i < World.CONTROLLERS.size(); i++) {
      newHost(World.CONTROLLERS.get(i), i);
    }
    for (int i = 0; i < size.spareControllers(); i++) {
      String name = "c" + (World.CONTROLLERS.size() + i + 1);
      newHost(name, i % REGIONS);
      controllers.addSpare(name);
    }
    for (int i = 0; i < size.proxies(); i++) {
      String name = "p" + (i + 1);
      proxies.put(name, new SimServiceProxy(this, newHost(name, i % REGIONS)));
    }
    for (int i = 0; i < REGIONS; i++) {
      newMember(i);
    }
    for (RouteConsistency consistency : RouteConsistency.values()) {
      for (int i = 0; i < CALLERS_PER_ROUTE; i++) {
        String name = consistency.name().toLowerCase(java.util.Locale.ROOT) + i;
        TenantId tenant = operator.tenants().get(callers.size() % operator.tenants().size());
        callers.add(new SimServiceCaller(name, this, random, consistency, tenant));
      }
    }
  }

  private SimHost newHost(String name, int region) {
    Placement placement = new Placement("r" + region, "r" + region + "z");
    double rate = 1 + (random.nextDouble() - 0.5) * 2 * MAX_CLOCK_DRIFT;
    SimHost host = new SimHost(name, placement, scheduler, rate, e -> checks.taskFailed(name, e));
    hosts.put(name, host);
    network.addHost(host);
    return host;
  }

  SimServiceMember newMember(int region) {
    String name = "m" + (members.size() + 1);
    SimServiceMember member = new SimServiceMember(this, newHost(name, region % REGIONS));
    members.put(name, member);
    return member;
  }

  // ---- extension points that tests override with unsafe variants ----

  /** Creates the node of a proxy. */
  protected StatementProxyNode newProxyNode(
      SimHost host, NodeImage self, MemberDialer dialer, RequestLog log) {
    return new StatementProxyNode(
        host.worker(),
        network.networkOf(host),
        World.CODEC,
        World.CONTROLLERS,
        self,
        dialer,
        log,
        (long) host.incarnation() << Integer.SIZE,
        proxyQuotas());
  }

  /** Returns the settings with which proxies count limits. */
  protected QuotaSettings proxyQuotas() {
    return QUOTAS;
  }

  /** Returns the fence that the external promotion agent receives with an order. */
  protected long fenceOf(PromotionAgent.Order order) {
    return order.fence();
  }

  // ---- running ----

  /**
   * Runs a scenario from boot to the last check.
   *
   * @param scenario starts the faults once callers are running
   */
  public void run(Consumer<ServiceWorld> scenario) {
    network.setFaulty(true);
    controllers.bootFirst();
    SimServiceMember first = members.values().iterator().next();
    first.setPrimary(true);
    members.values().forEach(SimServiceMember::boot);
    proxies.values().forEach(SimServiceProxy::boot);
    operator.replaceDocument();
    clockWorker.repeat(OBSERVE_MILLIS, this::observe);
    advance(STARTUP_MILLIS);
    callers.forEach(SimServiceCaller::start);
    advance(2_000);
    scenario.accept(this);
    advance(FAULTS_MILLIS);
    checks.event("faults end");
    endFaults();
    advance(RECOVERY_MILLIS);
    long before = checks.count(AnswerCode.COMPLETE);
    long committedBefore = committed.size();
    advance(PROGRESS_MILLIS);
    long served = checks.count(AnswerCode.COMPLETE) - before;
    long written = committed.size() - committedBefore;
    checks.progress(
        served >= MIN_PROGRESS && written >= 1,
        served + " statements completed and " + written + " writes committed after recovery");
    callers.forEach(SimServiceCaller::stop);
    advance(PROGRESS_MILLIS);
    end();
  }

  private void endFaults() {
    group.setDelaysOrders(false);
    group.setDelaysRequests(false);
    connectionsBreak = false;
    network.healAll();
    controllers.names().forEach(controllers::bootIfDown);
    for (SimServiceMember member : members.values()) {
      member.setLagMillis(8);
      if (!member.host().isUp() && !member.isRemoved()) {
        member.boot();
      }
    }
    proxies.values().forEach(SimServiceProxy::recover);
  }

  private void end() {
    proxies.forEach(
        (name, proxy) ->
            checks.documents().stableInForce(name, proxy.node().image().document().version()));
    if (readsExpected) {
      checks.documents().readableSince(nowMillis() - PROGRESS_MILLIS);
    }
    Optional<SimServiceMember> primary = group.primary();
    checks.progress(primary.isPresent(), "the service has no primary at the end");
    primary.ifPresent(
        member -> member.received().forEach(entry -> checks.committed(entry, member.received())));
  }

  private void advance(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  /** Checks that nodes confirmed for long enough have the acknowledged document in force. */
  private void observe() {
    proxies.forEach(
        (name, proxy) -> {
          boolean confirmed = proxy.host().isRunning() && proxy.node().agent().isConfirmed();
          if (!confirmed) {
            confirmedSince.remove(name);
            return;
          }
          long since = confirmedSince.computeIfAbsent(name, any -> nowMillis());
          if (nowMillis() - since > STABLE_CONFIRMATION_MILLIS) {
            checks.documents().stableInForce(name, proxy.node().image().document().version());
          }
        });
  }

  /** Whether the controllers have confirmed a proxy for long enough that its image is current. */
  boolean isStablyConfirmed(String proxy) {
    Long since = confirmedSince.get(proxy);
    return since != null && nowMillis() - since > STABLE_CONFIRMATION_MILLIS;
  }

  // ---- controllers ----

  /** Calls a controller over the network; call and answer may be lost. */
  void call(String from, String controller, ServiceCall call, Consumer<ServiceCall.Result> answer) {
    SimHost host = hosts.get(controller);
    int incarnation = host.incarnation();
    Runnable arrive =
        () ->
            host.execute(
                incarnation,
                () ->
                    controllers
                        .node(controller)
                        .serviceCalls()
                        .execute(
                            call,
                            result ->
                                network.deliver(controller, from, () -> answer.accept(result))));
    network.deliver(from, controller, arrive);
  }

  void memberHeartbeat(
      SimServiceMember member,
      String controller,
      long sequence,
      Consumer<ServiceCall.Status> answer) {
    ServiceCall.MemberHeartbeat heartbeat =
        new ServiceCall.MemberHeartbeat(
            SERVICE, member.registration(), member.isPrimary(), sequence);
    call(member.host().name(), controller, heartbeat, result -> answer.accept(result.status()));
  }

  void deregister(SimServiceMember member) {
    for (String controller : World.CONTROLLERS) {
      call(
          member.host().name(),
          controller,
          new ServiceCall.MemberLeaves(member.id()),
          result -> {
            if (result.status() == ServiceCall.Status.DONE) {
              checks.drainAcknowledged(member.id().value());
            }
          });
    }
  }

  // ---- members ----

  void dial(SimServiceProxy proxy, String target, MemberChannel.Listener listener) {
    SimHost from = proxy.host();
    int incarnation = from.incarnation();
    SimServiceMember member = members.get(target);
    network.deliver(
        from.name(),
        target,
        () -> {
          if (!member.host().isUp()) {
            Runnable refused = () -> listener.closed("refused");
            network.deliver(target, from.name(), () -> from.execute(incarnation, refused));
            return;
          }
          SimServiceConnection connection = new SimServiceConnection(this, from, member, listener);
          proxy.connected(connection);
          Runnable connected = () -> listener.connected(connection);
          network.deliver(target, from.name(), () -> from.execute(incarnation, connected));
        });
  }

  boolean breaksConnection(SimServiceMember member) {
    return connectionsBreak && random.nextDouble() < BROKEN_CONNECTION_SHARE;
  }

  long workMillis() {
    return 1 + random.nextLong(MAX_WORK_MILLIS);
  }

  // ---- statements ----

  void recordSent(String statement, SentStatement sent) {
    statements.put(statement, sent);
  }

  SentStatement sent(String statement) {
    return statements.get(statement);
  }

  void committed(String statement, LogEntry entry) {
    committed.put(statement, entry);
  }

  void acknowledged(String statement) {
    LogEntry entry = committed.get(statement);
    checks.progress(entry != null, statement + " was acknowledged but never committed");
    if (entry != null) {
      checks.writeAcknowledged(entry);
    }
  }

  long nextSession() {
    sessions++;
    return sessions;
  }

  SimServiceProxy readyProxy(UniformRandomProvider choice) {
    List<SimServiceProxy> ready =
        proxies.values().stream().filter(SimServiceProxy::isReady).toList();
    return ready.isEmpty() ? null : ready.get(choice.nextInt(ready.size()));
  }

  // ---- for scenarios ----

  /**
   * Runs a task later.
   *
   * @param delayMillis delay in virtual milliseconds
   * @param task the task
   */
  public void after(long delayMillis, Runnable task) {
    clockWorker.schedule(delayMillis, task);
  }

  void afterCallerLatency(Runnable task) {
    scheduler.schedule(task, CALLER_MICROS, TimeUnit.MICROSECONDS);
  }

  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  UniformRandomProvider random() {
    return random;
  }

  SimNetwork network() {
    return network;
  }

  FaultCounter faults() {
    return faults;
  }

  ServiceChecks checks() {
    return checks;
  }

  SimServiceControllers controllers() {
    return controllers;
  }

  Map<String, SimServiceMember> members() {
    return members;
  }

  Map<String, SimServiceProxy> proxies() {
    return proxies;
  }

  Set<String> hostNames() {
    return hosts.keySet();
  }

  boolean isSynchronous() {
    return size.synchronousReplicas() > 0;
  }

  ServiceSize size() {
    return size;
  }

  SimServiceGroup group() {
    return group;
  }

  SimOperator operator() {
    return operator;
  }

  /** Announces that documents are read until the end of the run. */
  void expectReads() {
    readsExpected = true;
  }

  void setConnectionsBreak(boolean value) {
    connectionsBreak = value;
  }

  /** Cuts a host off from other hosts, in both directions. */
  void cut(String host, Iterable<String> others) {
    for (String other : others) {
      if (!other.equals(host)) {
        network.cut(host, other);
        network.cut(other, host);
      }
    }
  }
}
