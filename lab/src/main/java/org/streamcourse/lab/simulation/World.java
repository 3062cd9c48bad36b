package org.streamcourse.lab.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.connection.frontend.FrontendSettings;
import org.streamcourse.lab.simulation.History.Outcome;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.AdminResult;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.Placement;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A simulated fleet of controllers, proxies and members with its callers, on a virtual clock. */
public final class World {
  /** SQLSTATE that a stopping proxy returns for a request that has not run. */
  private static final String ADMIN_SHUTDOWN = "57P01";

  /** Name of the simulated group. */
  public static final String GROUP = "bookings";

  /** Names of the controllers. */
  public static final List<String> CONTROLLERS = List.of("c1", "c2", "c3");

  static final MessageCodec CODEC = StreamTypes.codec();
  private static final int REGIONS = 3;
  private static final int PROXIES = 6;
  private static final int CALLERS = 8;
  private static final double WRITER_READ_SHARE = 0.6;

  /**
   * One caller in this many mostly reads. Its floor is old, so that only the staleness limit keeps
   * its reads away from a replica that lags far behind.
   */
  private static final int CALLERS_PER_READER = 4;

  private static final double READER_READ_SHARE = 0.99;
  private static final int MEMBER_PORTS = 5_000;
  static final int CONNECTION_LIMIT = 16;
  static final int SLOT_LIMIT = 5;
  private static final long CALLER_MICROS = 3_000;
  private static final long MAX_STALENESS_MILLIS = 2_000;
  private static final long OBSERVE_MILLIS = 50;
  private static final long STARTUP_MILLIS = 5_000;
  private static final long FAULTS_MILLIS = 14_000;
  private static final long RECOVERY_MILLIS = 14_000;
  private static final long PROGRESS_MILLIS = 5_000;
  private static final long DRAIN_MILLIS = 12_000;
  private static final double MAX_CLOCK_DRIFT = 0.02;
  static final FrontendSettings FRONTEND =
      new FrontendSettings(10_000, 1_000_000, 1_000_000, 4_000, Map.of());
  private static final SimNetwork.Conditions CONDITIONS =
      new SimNetwork.Conditions(1_500, 20_000, 0.02, 0.02);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final UniformRandomProvider random;
  private final SimHooks hooks;
  private final FaultCounter faults = new FaultCounter();
  private final History history = new History(this::nowMillis);
  private final SimNetwork network;
  private final Map<String, SimController> controllers = new TreeMap<>();
  private final Map<String, SimProxy> proxies = new TreeMap<>();
  private final Map<String, SimMember> members = new TreeMap<>();
  private final List<SimCaller> callers = new ArrayList<>();
  private final Map<String, Long> errors = new TreeMap<>();
  private boolean errorsAllowed = true;
  private final Worker clockWorker = SchedulerWorker.onSchedulerClock(scheduler);

  /**
   * Builds a fleet that does not run yet.
   *
   * @param seed seed of all random draws
   * @param hooks extension points that tests override
   */
  public World(long seed, SimHooks hooks) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.hooks = hooks;
    network = new SimNetwork(scheduler, random, CODEC, CONDITIONS, faults, hooks);
    for (int i = 0; i < CONTROLLERS.size(); i++) {
      controllers.put(
          CONTROLLERS.get(i), new SimController(this, newHost(CONTROLLERS.get(i), i, 0)));
    }
    for (int i = 0; i < PROXIES; i++) {
      String name = "p" + (i + 1);
      proxies.put(name, new SimProxy(this, newHost(name, i % REGIONS, i / REGIONS)));
    }
    for (int i = 0; i < REGIONS; i++) {
      String name = "m" + (i + 1);
      SimHost host = newHost(GROUP + '-' + name, i, 0);
      members.put(name, hooks.newMember(name, host, network, history, members));
    }
    for (int i = 0; i < CALLERS; i++) {
      double readShare = i % CALLERS_PER_READER == 0 ? READER_READ_SHARE : WRITER_READ_SHARE;
      callers.add(hooks.newCaller("caller" + i, this, random, readShare));
    }
  }

  private SimHost newHost(String name, int region, int zone) {
    Placement placement = new Placement("r" + region, "r" + region + "z" + zone);
    double rate = 1 + (random.nextDouble() - 0.5) * 2 * MAX_CLOCK_DRIFT;
    SimHost host = new SimHost(name, placement, scheduler, rate, e -> history.taskFailed(name, e));
    network.addHost(host);
    return host;
  }

  // ---- running ----

  /**
   * Runs a scenario from boot to the last check.
   *
   * @param scenario faults of the run
   */
  public void run(Scenario scenario) {
    run(scenario.isPlanned(), scenario::start);
  }

  /**
   * Runs faults from boot to the last check.
   *
   * @param planned whether callers must receive no error
   * @param scenario starts the faults once callers are running
   */
  void run(boolean planned, Consumer<World> scenario) {
    errorsAllowed = !planned;
    network.setFaulty(true);
    controllers.values().forEach(each -> each.boot(true));
    members.values().forEach(SimMember::boot);
    proxies.values().forEach(SimProxy::boot);
    clockWorker.repeat(OBSERVE_MILLIS, this::observe);
    createGroup();
    advance(STARTUP_MILLIS);
    callers.forEach(SimCaller::start);
    advance(1_000);
    scenario.accept(this);
    advance(FAULTS_MILLIS);
    history.event("faults end");
    network.healAll();
    controllers.values().forEach(SimController::recover);
    members.values().forEach(this::recover);
    proxies.values().forEach(SimProxy::recover);
    advance(RECOVERY_MILLIS);
    long before = history.count(Outcome.ACKNOWLEDGED);
    long readsBefore = history.reads();
    advance(PROGRESS_MILLIS);
    long after = history.count(Outcome.ACKNOWLEDGED);
    history.checkProgress(
        after - before >= CALLERS && history.reads() - readsBefore >= CALLERS,
        "after recovery only " + (after - before) + " bookings were acknowledged");
    callers.forEach(SimCaller::stop);
    advance(DRAIN_MILLIS);
    end();
    history.stopClock();
  }

  private void recover(SimMember member) {
    member.host().thaw();
    member.setLagMillis(0);
    if (!member.host().isUp()) {
      member.boot();
    }
  }

  private void end() {
    Optional<SimMember> primary = primary();
    history.checkProgress(primary.isPresent(), "the group has no primary at the end");
    if (primary.isEmpty()) {
      return;
    }
    List<Long> nodeVersions =
        proxies.values().stream()
            .map(each -> each.node().agent().image().configurationVersion())
            .toList();
    history.checkEnd(primary.get().log(), leaderImage().configurationVersion(), nodeVersions);
  }

  private void advance(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void observe() {
    for (SimProxy proxy : proxies.values()) {
      if (proxy.host().isRunning()) {
        history.nodeVersion(proxy.host().name(), proxy.node().agent().image().version());
      }
    }
    for (SimController controller : controllers.values()) {
      if (controller.host().isRunning() && controller.node().controller().agreement().isLeader()) {
        history.leader(controller.node().controller().agreement().term(), controller.host().name());
      }
    }
  }

  private void createGroup() {
    StringBuilder sql = new StringBuilder("CREATE GROUP " + GROUP + " MEMBERS (");
    String separator = "";
    for (Map.Entry<String, SimMember> member : members.entrySet()) {
      Placement placement = member.getValue().host().placement();
      sql.append(separator)
          .append(member.getKey())
          .append(" AT '")
          .append(addressOf(member.getKey()))
          .append("' REGION ")
          .append(placement.region())
          .append(" ZONE ")
          .append(placement.zone())
          .append(" CONNECTIONS ")
          .append(CONNECTION_LIMIT)
          .append(" SLOTS ")
          .append(SLOT_LIMIT);
      separator = ", ";
    }
    sql.append(") COMMAND 'create'");
    sendUntilAccepted(sql.toString(), () -> {});
  }

  // ---- for scenarios ----

  /** Returns the address under which controllers and the platform know a member. */
  static String addressOf(String member) {
    return "127.0.0.1:" + (MEMBER_PORTS + member.charAt(1) - '0');
  }

  /**
   * Runs a task later.
   *
   * @param delayMillis delay in virtual milliseconds
   * @param task the task
   */
  public void after(long delayMillis, Runnable task) {
    clockWorker.schedule(delayMillis, task);
  }

  Worker clockWorker() {
    return clockWorker;
  }

  UniformRandomProvider random() {
    return random;
  }

  SimHooks hooks() {
    return hooks;
  }

  SimNetwork network() {
    return network;
  }

  History history() {
    return history;
  }

  FaultCounter faults() {
    return faults;
  }

  /** Returns the number of errors that callers received, by SQLSTATE and text. */
  Map<String, Long> errors() {
    return errors;
  }

  void recordError(String caller, String state, String text) {
    errors.merge(state + ' ' + text, 1L, Long::sum);
    history.event(caller + " got " + state + ' ' + text);
    boolean stopping = state.equals(ADMIN_SHUTDOWN);
    history.plannedStopAnswer(caller, errorsAllowed || stopping, state + ' ' + text);
  }

  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  long maxStalenessMillis() {
    return MAX_STALENESS_MILLIS;
  }

  void afterCallerLatency(Runnable task) {
    scheduler.schedule(task, CALLER_MICROS, TimeUnit.MICROSECONDS);
  }

  Map<String, SimController> controllers() {
    return controllers;
  }

  Map<String, SimProxy> proxies() {
    return proxies;
  }

  Map<String, SimMember> members() {
    return members;
  }

  SimProxy randomProxy(UniformRandomProvider choice) {
    List<SimProxy> all = new ArrayList<>(proxies.values());
    return all.get(choice.nextInt(all.size()));
  }

  Optional<SimController> leader() {
    return controllers.values().stream()
        .filter(each -> each.host().isRunning())
        .filter(each -> each.node().controller().agreement().isLeader())
        .max(
            java.util.Comparator.comparingLong(
                each -> each.node().controller().agreement().term()));
  }

  ClusterImage leaderImage() {
    return leader().map(each -> each.node().controller().image()).orElse(ClusterImage.EMPTY);
  }

  Optional<SimMember> primary() {
    return leaderImage()
        .group(GROUP)
        .flatMap(GroupImage::primaryMember)
        .map(member -> members.get(member.name()));
  }

  /** Returns the names of all hosts in a region. */
  List<String> hostsIn(String region) {
    List<String> names = new ArrayList<>();
    controllers.values().forEach(each -> addIfIn(region, each.host(), names));
    proxies.values().forEach(each -> addIfIn(region, each.host(), names));
    members.values().forEach(each -> addIfIn(region, each.host(), names));
    return names;
  }

  private static void addIfIn(String region, SimHost host, List<String> names) {
    if (host.placement().region().equals(region)) {
      names.add(host.name());
    }
  }

  List<String> hostsOutside(String region) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < REGIONS; i++) {
      String other = "r" + i;
      if (!other.equals(region)) {
        names.addAll(hostsIn(other));
      }
    }
    return names;
  }

  /** Sends an operator's statement to one controller; the answer may be lost. */
  void sendStatement(String controller, String sql, Consumer<AdminResult> answer) {
    SimController handle = controllers.get(controller);
    int incarnation = handle.host().incarnation();
    handle
        .host()
        .execute(
            incarnation,
            () ->
                handle
                    .node()
                    .router()
                    .execute(
                        hooks.operatorStatement(sql),
                        result -> clockWorker.execute(() -> answer.accept(result))));
  }

  /** Sends a command with an id to the controllers in turn until one of them accepts it. */
  void sendUntilAccepted(String sql, Runnable whenAccepted) {
    boolean[] accepted = new boolean[1];
    Runnable[] attempt = new Runnable[1];
    int[] turn = new int[1];
    attempt[0] =
        () -> {
          if (accepted[0]) {
            return;
          }
          String controller = CONTROLLERS.get(turn[0] % CONTROLLERS.size());
          turn[0]++;
          sendStatement(
              controller,
              sql,
              result -> {
                if (result.sqlState().isEmpty() && !accepted[0]) {
                  accepted[0] = true;
                  recordAccepted(sql, result);
                  whenAccepted.run();
                }
              });
          after(1_000, attempt[0]);
        };
    attempt[0].run();
  }

  /** Records an accepted command with the version that it created. */
  void recordAccepted(String sql, AdminResult result) {
    history.event("accepted " + result.rows() + " " + sql);
    if (result.columns().equals(List.of("version"))) {
      history.commandAccepted(Long.parseLong(result.rows().get(0).get(0)), sql);
    }
  }
}
