package org.streamcourse.version.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.quota.LocalQuota;
import org.streamcourse.request.quota.OperationLimits;
import org.streamcourse.request.quota.QuotaClient;
import org.streamcourse.request.quota.QuotaMessage;
import org.streamcourse.request.quota.QuotaPacing;
import org.streamcourse.request.quota.QuotaPermit;
import org.streamcourse.request.quota.QuotaRefusal;
import org.streamcourse.request.quota.QuotaRequest;
import org.streamcourse.request.quota.QuotaServerOrder;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.quota.TenantQuotas;
import org.streamcourse.version.control.ControlMessage.QuotaNews;
import org.streamcourse.version.control.ControlMessage.QuotaReport;
import org.streamcourse.version.control.ControlMessage.QuotaShare;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.QuotaHolder;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TenantId;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulation of nodes that run operations of tenants with limits, and of the leader that divides
 * the limits, on a virtual clock. Tenants are of unequal size and call a random subset of the
 * nodes; the first tenant demands five times its limit, and the second one moves to other nodes
 * halfway.
 */
final class QuotaWorld {
  static final QuotaSettings SETTINGS = new QuotaSettings(5_000, 0.1, 20);
  static final long LENGTH_MILLIS = 40_000;

  private static final double OPERATIONS_A_NODE = 14.7;
  private static final long COMMIT_MILLIS = 45;
  private static final long MAX_LATENCY_MILLIS = 25;
  private static final long CHECK_MILLIS = 100;
  private static final long LIMIT_EFFECT_MILLIS = 10_000;
  private static final long MEASURED_MILLIS = 1_500;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long SAME_ZONE_MICROS = 100;
  private static final long SAME_REGION_MICROS = 1_400;
  private static final long OTHER_REGION_MICROS = 20_000;
  private static final int ZONES = 6;
  private static final int ZONES_OF_A_REGION = 2;
  private static final MessageCodec CODEC = StreamTypes.codec();

  /** One node with its present incarnation. */
  final class Node {
    final String name;
    private final Placement placement;
    private long run;
    boolean cut;
    boolean down;
    long frozenUntil;
    private QuotaClient quotaClient;
    private OperationLimits limits;
    private long lastConfirmed;
    private TenantQuotas quotas;
    private Map<TenantId, LocalQuota> parts = new TreeMap<>();

    Node(int number) {
      this.name = "n" + number;
      int zone = number % ZONES;
      this.placement = new Placement("r" + zone / ZONES_OF_A_REGION, "z" + zone);
    }

    private NodeImage image() {
      return new NodeImage(name, 1, "", 1, placement, false);
    }

    void start() {
      run++;
      down = false;
      int ofRun = (int) run;
      parts = new TreeMap<>();
      lastConfirmed = Long.MIN_VALUE / 2;
      quotas =
          new TenantQuotas(
              new RunWorker(this, ofRun),
              scheme.pacing,
              name,
              run,
              () -> now() - lastConfirmed < QuotaPlanner.HOLD_MILLIS,
              report -> toLeader(report));
      limits = quotas;
      if (scheme.scope != null) {
        quotaClient =
            new QuotaClient(
                new RunWorker(this, ofRun),
                (peer, message) -> toNode(this, peer, message),
                quotas,
                name,
                new QuotaServerOrder(scheme.scope, placement),
                () -> image,
                random.nextLong() >>> 1);
        limits = quotaClient;
      }
      worker(ofRun)
          .repeat(
              CHECK_MILLIS,
              () -> {
                if (quotaClient == null) {
                  quotas.check();
                } else {
                  quotaClient.check();
                }
              });
      worker(ofRun).repeat(HEARTBEAT_MILLIS, this::heartbeat);
      heartbeat();
    }

    private Worker worker(int ofRun) {
      return new RunWorker(this, ofRun);
    }

    private void heartbeat() {
      long sent = now();
      int ofRun = (int) run;
      if (scheme != QuotaScheme.EQUAL_PARTS) {
        deliver(
            this,
            () -> {
              planner.onHeartbeat(name);
              deliver(this, () -> confirmed(sent, ofRun));
            });
      }
    }

    private void confirmed(long sent, int ofRun) {
      if (ofRun == run) {
        lastConfirmed = Math.max(lastConfirmed, sent);
        worker(ofRun).execute(quotas::confirmed);
        beginMeasuring();
      }
    }

    private void toLeader(QuotaReport report) {
      count(report);
      deliver(this, () -> planner.onReport(name, report));
    }

    void offer(QuotaTenant tenant) {
      if (down || now() < frozenUntil) {
        return;
      }
      figures.offered++;
      if (scheme == QuotaScheme.EQUAL_PARTS) {
        int part = SETTINGS.budget(tenant.rule()) / nodes.size();
        LocalQuota quota =
            parts.computeIfAbsent(
                tenant.id, any -> new LocalQuota(QuotaPacing.none(SETTINGS.windowMillis()), 0));
        quota.update(part, part, 0, part, true, now());
        outcome(tenant, quota.take(now()));
        return;
      }
      boolean measured = isMeasured() && tenant != tenants.get(0);
      figures.offeredAfterLoss += measured ? 1 : 0;
      long since = clock.now(TimeUnit.MICROSECONDS);
      limits.admit(
          tenant.rule(),
          new QuotaRequest() {
            @Override
            public TenantId tenant() {
              return tenant.id;
            }

            @Override
            public long maxWaitMillis() {
              return 500;
            }

            @Override
            public void admitted(QuotaPermit permit) {
              figures.admittedAfterLoss += measured ? 1 : 0;
              figures.waited(clock.now(TimeUnit.MICROSECONDS) - since);
              outcome(tenant, true);
            }

            @Override
            public void refused(QuotaRefusal refusal) {
              outcome(tenant, false);
            }
          });
    }

    private void outcome(QuotaTenant tenant, boolean admitted) {
      if (admitted) {
        tenant.run();
      } else if (tenant.inWindow() < tenant.limit()) {
        figures.refusedBelowLimit++;
        figures.refusedBelowLimitOfGreedy += tenant == tenants.get(0) ? 1 : 0;
      }
    }
  }

  /** Runs the tasks of one incarnation of a node; while the node is frozen, tasks are delayed. */
  private final class RunWorker implements Worker {
    private final Node node;
    private final int ofRun;

    RunWorker(Node node, int ofRun) {
      this.node = node;
      this.ofRun = ofRun;
    }

    @Override
    public long now() {
      return QuotaWorld.this.now();
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    public reactor.core.Disposable schedule(long delayMillis, Runnable task) {
      return clock.schedule(() -> runNow(task), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void runNow(Runnable task) {
      if (node.run != ofRun || node.down) {
        return;
      }
      if (now() < node.frozenUntil) {
        schedule(node.frozenUntil - now(), task);
      } else {
        task.run();
      }
    }
  }

  final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final Worker leaderWorker = SchedulerWorker.onSchedulerClock(clock);
  final UniformRandomProvider random;
  private final QuotaScheme scheme;
  final List<Node> nodes = new ArrayList<>();
  final List<QuotaTenant> tenants = new ArrayList<>();
  private final QuotaTable table = new QuotaTable();
  private final QuotaPlanner planner;
  final QuotaStatistics figures = new QuotaStatistics();
  private long leadership;
  private boolean leaderless;
  private String cutRegion = "";
  private boolean measuresNextConfirmation;
  private long disruptedUntilMillis;
  private long measuredFrom = Long.MAX_VALUE;
  private long documentVersion;
  private ClusterImage image = ClusterImage.EMPTY;

  QuotaWorld(long seed, QuotaScheme scheme, int nodeCount, int tenantCount) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.scheme = scheme;
    this.planner = new QuotaPlanner(SETTINGS, table, new LeaderActions());
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i));
    }
    double all = 0;
    for (int i = 0; i < tenantCount; i++) {
      all += 1.0 / (i + 1);
    }
    for (int i = 0; i < tenantCount; i++) {
      double demand = OPERATIONS_A_NODE * nodeCount / (i + 1) / all;
      tenants.add(new QuotaTenant(this, i, demand));
    }
    TreeMap<String, NodeImage> images = new TreeMap<>();
    nodes.forEach(node -> images.put(node.name, node.image()));
    image = new ClusterImage(1, 0, new TreeMap<>(), images);
    replaceDocument();
  }

  private final class LeaderActions implements QuotaPlanner.Actions {
    @Override
    public long now() {
      return QuotaWorld.this.now();
    }

    @Override
    public void propose(ClusterChange.QuotaGranted change) {
      long under = leadership;
      figures.logRecords++;
      figures.logBytes += CODEC.encode(change).length;
      leaderWorker.schedule(
          COMMIT_MILLIS,
          () -> {
            if (under == leadership && !leaderless) {
              planner.applied(table.apply(change));
            }
          });
    }

    @Override
    public void sendShares(QuotaHolder holder, List<QuotaShare> shares, boolean confirmed) {
      QuotaNews message = new QuotaNews(holder.run(), shares);
      count(message);
      Node node = nodes.get(Integer.parseInt(holder.node().substring(1)));
      int run = (int) node.run;
      deliver(
          node,
          () -> {
            if (node.run == run && !node.down) {
              node.worker(run).execute(() -> node.quotas.receive(message));
            }
          });
    }
  }

  long now() {
    return clock.now(TimeUnit.MILLISECONDS);
  }

  private void count(ControlMessage message) {
    figures.messages++;
    figures.bytes += CODEC.encode(message).length;
  }

  /** Delivers a message between a node and the leader, in either direction, or loses it. */
  private void deliver(Node node, Runnable arrive) {
    long latency = 1 + random.nextLong(MAX_LATENCY_MILLIS);
    clock.schedule(
        () -> {
          if (!node.cut && !leaderless && !node.placement.region().equals(cutRegion)) {
            arrive.run();
          }
        },
        latency,
        TimeUnit.MILLISECONDS);
  }

  /** Delivers a message between nodes, or loses it. */
  private void toNode(Node from, String peer, Object message) {
    Node to = nodes.get(Integer.parseInt(peer.substring(1)));
    int size = CODEC.encode(message).length;
    int distance = from.placement.distanceTo(to.placement);
    figures.messages++;
    figures.bytes += size;
    figures.bytesBetweenRegions += distance > 1 ? size : 0;
    long micros =
        switch (distance) {
          case 0 -> SAME_ZONE_MICROS;
          case 1 -> SAME_REGION_MICROS;
          default -> OTHER_REGION_MICROS;
        };
    int toRun = (int) to.run;
    boolean cutApart =
        distance > 1
            && (from.placement.region().equals(cutRegion)
                || to.placement.region().equals(cutRegion));
    if (!cutApart) {
      clock.schedule(() -> arrive(from, to, toRun, message), micros, TimeUnit.MICROSECONDS);
    }
  }

  private static void arrive(Node from, Node to, int toRun, Object message) {
    if (to.run == toRun && !to.down) {
      to.worker(toRun).execute(() -> to.quotaClient.receive(from.name, (QuotaMessage) message));
    }
  }

  // ---- measurement after a fault ----

  private void measureFromNextConfirmation() {
    measuresNextConfirmation = true;
  }

  private void beginMeasuring() {
    if (measuresNextConfirmation) {
      measuresNextConfirmation = false;
      measuredFrom = now();
    }
  }

  private boolean isMeasured() {
    return now() >= measuredFrom && now() - measuredFrom < MEASURED_MILLIS;
  }

  void replaceDocument() {
    documentVersion++;
    RoutingDocument document =
        new RoutingDocument(
            documentVersion,
            List.of(),
            List.of(),
            SessionLimits.DEFAULT,
            tenants.stream().map(QuotaTenant::rule).toList(),
            "");
    image = image.apply(new ClusterChange.DocumentReplaced(document));
  }

  void at(long millis, Runnable task) {
    clock.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  /** Runs the simulation with the given faults. */
  QuotaStatistics run(QuotaFaults faults) {
    nodes.forEach(Node::start);
    leaderWorker.repeat(
        50,
        () -> {
          if (!leaderless) {
            planner.check(image);
          }
        });
    tenants.forEach(QuotaTenant::scheduleNext);
    at(LENGTH_MILLIS / 2, () -> tenants.get(1).callers = tenants.get(1).randomNodes());
    faults.plan(this);
    clock.advanceTimeBy(Duration.ofMillis(LENGTH_MILLIS));
    return figures;
  }

  // ---- faults ----

  /** Records that some node or the leader is unreachable until the given time. */
  void disruptedUntil(long millis) {
    disruptedUntilMillis = Math.max(disruptedUntilMillis, millis);
  }

  /**
   * Returns whether all nodes have been reachable for long enough since a time that a limit lowered
   * then must hold.
   */
  boolean isUndisruptedSince(long millis) {
    return now() > Math.max(millis, disruptedUntilMillis) + LIMIT_EFFECT_MILLIS;
  }

  void freeze(Node node, long millis) {
    node.frozenUntil = now() + millis;
    disruptedUntil(node.frozenUntil);
  }

  void cut(Node node, long millis) {
    node.cut = true;
    disruptedUntil(now() + millis);
    at(millis, () -> node.cut = false);
  }

  /** Cuts a region off from the other regions and from the leader. */
  void cutRegion(String region, long millis) {
    cutRegion = region;
    disruptedUntil(now() + millis);
    at(millis, () -> cutRegion = "");
  }

  void restart(Node node, long millis) {
    node.down = true;
    disruptedUntil(now() + millis);
    at(
        millis,
        () -> {
          if (node.down) {
            node.start();
          }
        });
  }

  /** Leaves the nodes without a leader for the given time; measurement starts at once. */
  void changeLeader(long millis) {
    measuredFrom = now();
    stopLeading(millis);
  }

  private void stopLeading(long millis) {
    leaderless = true;
    leadership++;
    disruptedUntil(now() + millis);
    at(
        millis,
        () -> {
          leaderless = false;
          planner.restart();
        });
  }

  /** Cuts the power of all machines; the controllers need longer to start than the nodes. */
  void losePower(long millis, long leaderMillis) {
    measuredFrom = Long.MAX_VALUE;
    nodes.forEach(node -> restart(node, millis + random.nextLong(200)));
    stopLeading(millis + leaderMillis);
    measureFromNextConfirmation();
  }
}
