package org.streamcourse.version.control;

import org.streamcourse.version.control.QuotaWorld.Node;

/** Faults and changes in a {@link QuotaWorld}. */
enum QuotaFaults {
  /** No faults. */
  NONE {
    @Override
    void plan(QuotaWorld world) {
      // No faults.
    }
  },
  /**
   * Nodes are cut off, restarted and frozen; the leader changes; all nodes restart; a limit is
   * lowered.
   */
  MANY {
    @Override
    void plan(QuotaWorld world) {
      planNodeFaults(world);
      world.at(randomTime(world), () -> world.changeLeader(500 + world.random.nextLong(6_000)));
      world.at(
          randomTime(world),
          () -> world.nodes.forEach(node -> world.restart(node, 500 + randomBelow(world, 1_000))));
      world.at(randomTime(world), () -> lowerALimit(world));
    }
  },
  /** A limit is lowered to a quarter. */
  LOWERED {
    @Override
    void plan(QuotaWorld world) {
      world.at(LOSS_AT_MILLIS, () -> lowerALimit(world));
    }
  },
  /** The leader is frozen for 7 s. */
  LEADER {
    @Override
    void plan(QuotaWorld world) {
      world.at(LOSS_AT_MILLIS, () -> world.changeLeader(7_000));
    }
  },
  /** All machines lose power for 1.5 s; a controller becomes leader 2.3 s later. */
  POWER {
    @Override
    void plan(QuotaWorld world) {
      world.at(LOSS_AT_MILLIS, () -> world.losePower(1_500, 2_300));
    }
  },
  /** Power is lost twice within a few seconds, among other faults. */
  POWER_TWICE {
    @Override
    void plan(QuotaWorld world) {
      planNodeFaults(world);
      long first = randomTime(world);
      world.at(
          first, () -> world.losePower(200 + randomBelow(world, 1_500), randomBelow(world, 2_500)));
      long second = first + 600 + randomBelow(world, 6_000);
      world.at(
          second,
          () -> world.losePower(200 + randomBelow(world, 1_500), randomBelow(world, 2_500)));
      world.at(randomTime(world), () -> lowerALimit(world));
    }
  },
  /** Half of the nodes lose power for a second. */
  HALF {
    @Override
    void plan(QuotaWorld world) {
      world.at(
          LOSS_AT_MILLIS,
          () ->
              world.nodes.stream()
                  .filter(node -> world.random.nextBoolean())
                  .forEach(node -> world.restart(node, 1_000)));
    }
  },
  /** One node loses power and comes back after 20 s. */
  ONE {
    @Override
    void plan(QuotaWorld world) {
      world.at(LOSS_AT_MILLIS, () -> world.restart(world.nodes.get(0), 20_000));
    }
  },
  /** A region is cut off from the others and from the controllers for 6 s. */
  REGION {
    @Override
    void plan(QuotaWorld world) {
      world.at(LOSS_AT_MILLIS, () -> world.cutRegion("r1", 6_000));
    }
  };

  private static final long LOSS_AT_MILLIS = 15_000;

  /**
   * Schedules the faults.
   *
   * @param world the world, before its start
   */
  abstract void plan(QuotaWorld world);

  private static void planNodeFaults(QuotaWorld world) {
    for (Node node : world.nodes) {
      switch (world.random.nextInt(6)) {
        case 0 ->
            world.at(randomTime(world), () -> world.cut(node, 1_000 + randomBelow(world, 20_000)));
        case 1 ->
            world.at(randomTime(world), () -> world.restart(node, 500 + randomBelow(world, 2_000)));
        case 2 ->
            world.at(randomTime(world), () -> world.freeze(node, 200 + randomBelow(world, 6_000)));
        default -> {
          // No fault at this node.
        }
      }
    }
  }

  private static void lowerALimit(QuotaWorld world) {
    QuotaTenant lowered = world.tenants.get(world.random.nextInt(world.tenants.size()));
    lowered.rate = Math.max(1, lowered.rate / 4);
    lowered.burst = lowered.rate;
    lowered.lowLimitFromMillis = world.now();
    world.replaceDocument();
  }

  private static long randomBelow(QuotaWorld world, long most) {
    return world.random.nextLong(most);
  }

  private static long randomTime(QuotaWorld world) {
    return 5_000 + randomBelow(world, QuotaWorld.LENGTH_MILLIS - 10_000);
  }
}
