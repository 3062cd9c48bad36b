package org.streamcourse.version.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamcourse.version.control.QuotaWorld.Node;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;

/** One tenant of a {@link QuotaWorld} and its operations within the window. */
final class QuotaTenant {
  private static final double GREEDY_FACTOR = 5;
  private static final long SETTLED_MILLIS = 5_000;
  private static final double LIMIT_PER_DEMAND = 1.6;

  private final QuotaWorld world;
  final TenantId id;
  private final double demand;
  double rate;
  double burst;
  List<Node> callers;
  long lowLimitFromMillis = Long.MAX_VALUE;
  private final Deque<Long> runTimes = new ArrayDeque<>();

  QuotaTenant(QuotaWorld world, int number, double demand) {
    this.world = world;
    this.id = new TenantId("t" + number);
    this.demand = demand * (number == 0 ? GREEDY_FACTOR * LIMIT_PER_DEMAND : 1);
    this.rate = Math.max(1, Math.round(demand * LIMIT_PER_DEMAND));
    this.burst = rate;
    this.callers = randomNodes();
  }

  List<Node> randomNodes() {
    int count = 1 + world.random.nextInt(Math.max(1, world.nodes.size() / 2));
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(world.nodes.get(world.random.nextInt(world.nodes.size())));
    }
    return nodes;
  }

  TenantRule rule() {
    return new TenantRule(id, List.of(), 1, rate, burst);
  }

  double limit() {
    return rate * QuotaWorld.SETTINGS.windowMillis() / 1_000 + burst;
  }

  void scheduleNext() {
    long pause = Math.max(1, Math.round(-Math.log(1 - world.random.nextDouble()) * 1_000 / demand));
    world.clock.schedule(
        () -> {
          callers.get(world.random.nextInt(callers.size())).offer(this);
          scheduleNext();
        },
        pause,
        TimeUnit.MILLISECONDS);
  }

  int inWindow() {
    while (!runTimes.isEmpty()
        && world.now() - runTimes.peekFirst() >= QuotaWorld.SETTINGS.windowMillis()) {
      runTimes.pollFirst();
    }
    return runTimes.size();
  }

  void run() {
    runTimes.addLast(world.now());
    double bound =
        limit() * (1 + QuotaWorld.SETTINGS.slackShare()) + QuotaWorld.SETTINGS.slackOperations();
    if (this == world.tenants.get(0) && world.now() > SETTLED_MILLIS) {
      long measured = QuotaWorld.LENGTH_MILLIS - SETTLED_MILLIS;
      world.figures.greedyUse += QuotaWorld.SETTINGS.windowMillis() / limit() / measured;
    }
    double use = inWindow() / bound;
    boolean mustHold =
        world.now() < lowLimitFromMillis - 1 || world.isUndisruptedSince(lowLimitFromMillis);
    if (mustHold) {
      world.figures.highestUse = Math.max(world.figures.highestUse, use);
      world.figures.brokenWindows += use > 1 ? 1 : 0;
    }
  }
}
