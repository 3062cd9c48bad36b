package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** The faults of which scenarios are composed. */
final class Faults {
  private static final int MIN_DELAY_MILLIS = 500;
  private static final int DELAY_SPREAD_MILLIS = 2_500;
  private static final int MAX_POLL_DELAY_MILLIS = 1_000;
  private static final int MAX_OUTAGE_MILLIS = 9_000;

  /** Longest delay of a fault after the start of a switchover, which takes about as long. */
  private static final int MAX_INTERRUPT_DELAY_MILLIS = 250;

  private static final int ALLOWANCE_OUTAGE_MILLIS = 13_000;
  private static final long RESTART_EVERY_MILLIS = 4_500;

  private Faults() {}

  private static long randomDelay(World world) {
    return MIN_DELAY_MILLIS + world.random().nextInt(DELAY_SPREAD_MILLIS);
  }

  private static long randomOutage(World world) {
    return 200 + world.random().nextInt(MAX_OUTAGE_MILLIS);
  }

  private static void count(World world, String kind, String victim) {
    world.faults().count(kind);
    world.history().event(kind + " " + victim);
  }

  // ---- members ----

  static void killPrimary(World world) {
    world.after(
        randomDelay(world), () -> world.primary().ifPresent(primary -> kill(world, primary)));
  }

  private static void kill(World world, SimMember member) {
    count(world, "member-killed", member.id());
    member.host().kill();
    world.after(
        randomOutage(world),
        () -> {
          if (!member.host().isUp()) {
            member.boot();
          }
        });
  }

  static void killPrimaryAndSuccessor(World world) {
    world.after(
        randomDelay(world),
        () ->
            world
                .primary()
                .ifPresent(
                    first -> {
                      kill(world, first);
                      killNext(world, first, 40);
                    }));
  }

  /** Kills the next primary as soon as there is one, possibly in the middle of its promotion. */
  private static void killNext(World world, SimMember first, int attempts) {
    world.after(
        10 + world.random().nextInt(60),
        () -> {
          Optional<SimMember> next = world.primary();
          if (next.isPresent() && next.get() != first && next.get().host().isUp()) {
            kill(world, next.get());
          } else if (attempts > 0) {
            killNext(world, first, attempts - 1);
          }
        });
  }

  static void freezePrimary(World world) {
    world.after(
        randomDelay(world),
        () -> world.primary().ifPresent(primary -> freeze(world, primary.host())));
  }

  private static void freeze(World world, SimHost host) {
    count(world, "process-frozen", host.name());
    host.freeze();
    world.after(randomOutage(world), host::thaw);
  }

  static void lagReplicas(World world) {
    boolean both = world.random().nextBoolean();
    long lag = 300 + world.random().nextInt(6_000);
    world.after(
        randomDelay(world),
        () -> {
          for (SimMember member : world.members().values()) {
            if (!member.isPrimary() && (both || world.random().nextBoolean())) {
              count(world, "replica-behind", member.id() + " by " + lag + " ms");
              member.setLagMillis(lag);
            }
          }
        });
  }

  // ---- links ----

  static void resetLinks(World world) {
    LinkResets.start(
        world::after, world.network(), world.random(), List.copyOf(world.proxies().keySet()));
    world.faults().count("links-reset");
  }

  // ---- cuts ----

  static void cutPrimaryRegion(World world) {
    world.after(
        randomDelay(world),
        () ->
            world
                .primary()
                .ifPresent(primary -> cutOff(world, primary.host().placement().region())));
  }

  static void cutRegion(World world) {
    world.after(randomDelay(world), () -> cutOff(world, "r" + world.random().nextInt(3)));
  }

  private static void cutOff(World world, String region) {
    int direction = world.random().nextInt(4);
    count(world, direction < 2 ? "region-cut" : "region-cut-one-way", region);
    for (String inside : world.hostsIn(region)) {
      for (String outside : world.hostsOutside(region)) {
        if (direction != 2) {
          world.network().cut(inside, outside);
        }
        if (direction != 3) {
          world.network().cut(outside, inside);
        }
      }
    }
    world.after(randomOutage(world), world.network()::healAll);
  }

  static void cutLeader(World world) {
    world.after(
        randomDelay(world), () -> world.leader().ifPresent(leader -> cutOff(world, leader)));
  }

  private static void cutOff(World world, SimController leader) {
    int direction = world.random().nextInt(3);
    String name = leader.host().name();
    count(world, "leader-cut", name);
    for (int region = 0; region < 3; region++) {
      for (String other : world.hostsIn("r" + region)) {
        if (direction != 1) {
          world.network().cut(name, other);
        }
        if (direction != 2) {
          world.network().cut(other, name);
        }
      }
    }
    if (world.random().nextBoolean()) {
      killPrimary(world);
    }
    world.after(randomOutage(world), world.network()::healAll);
  }

  /** Cuts the proxies of a region off from all controllers, but not from other hosts. */
  private static void cutFromControllers(World world, String region, long millis) {
    count(world, "proxies-unheard", region);
    for (SimProxy proxy : world.proxies().values()) {
      if (proxy.host().placement().region().equals(region)) {
        for (String controller : World.CONTROLLERS) {
          world.network().cut(proxy.host().name(), controller);
          world.network().cut(controller, proxy.host().name());
        }
      }
    }
    world.after(millis, world.network()::healAll);
  }

  static void cutProxiesPastAllowance(World world) {
    String region = "r" + world.random().nextInt(3);
    world.after(MIN_DELAY_MILLIS, () -> cutFromControllers(world, region, ALLOWANCE_OUTAGE_MILLIS));
  }

  static void cutPrimaryGatewaysFromControllers(World world) {
    world.after(
        randomDelay(world),
        () ->
            world
                .primary()
                .ifPresent(
                    primary ->
                        cutFromControllers(
                            world, primary.host().placement().region(), MAX_OUTAGE_MILLIS)));
  }

  static void drainWhileGatewaysAreCutOff(World world) {
    world.after(
        MIN_DELAY_MILLIS,
        () -> {
          Optional<SimMember> replica = firstReplica(world);
          replica.ifPresent(
              each ->
                  cutFromControllers(world, each.host().placement().region(), MAX_OUTAGE_MILLIS));
          world.after(randomDelay(world), () -> replica.ifPresent(each -> drain(world, each)));
        });
  }

  // ---- controllers ----

  static void freezeLeader(World world) {
    world.after(
        randomDelay(world), () -> world.leader().ifPresent(leader -> freeze(world, leader.host())));
  }

  static void raceOperators(World world) {
    for (int round = 0; round < 6; round++) {
      int number = round;
      world.after(MIN_DELAY_MILLIS + round * 1_500L, () -> sendConflicting(world, number));
    }
  }

  private static void sendConflicting(World world, int round) {
    long version = world.leaderImage().configurationVersion();
    for (int operator = 0; operator < World.CONTROLLERS.size(); operator++) {
      String sql =
          String.format(
              "ALTER GROUP %s SET max_staleness_ms = %d AT VERSION %d COMMAND 'race-%d-%d'",
              World.GROUP, 2_000 + round * 10 + operator, version, round, operator);
      count(world, "command-raced", sql);
      sendOnce(world, World.CONTROLLERS.get(operator), sql);
    }
  }

  /** Sends a command once and records its acceptance, if any. */
  private static void sendOnce(World world, String controller, String sql) {
    world.sendStatement(
        controller,
        sql,
        result -> {
          if (result.sqlState().isEmpty()) {
            world.recordAccepted(sql, result);
          }
        });
  }

  static void resendCommands(World world) {
    for (int i = 0; i < 8; i++) {
      String sql =
          String.format(
              "ALTER GROUP %s SET catch_up_wait_ms = %d COMMAND 'resent-%d'",
              World.GROUP, 20 + i, i);
      world.after(
          MIN_DELAY_MILLIS + i * 1_000L,
          () -> {
            count(world, "command-resent", sql);
            World.CONTROLLERS.forEach(controller -> sendOnce(world, controller, sql));
          });
    }
  }

  static void loseTwoControllers(World world) {
    List<String> order = new ArrayList<>(World.CONTROLLERS);
    int first = world.random().nextInt(order.size());
    SimController lost = world.controllers().get(order.remove(first));
    SimController second = world.controllers().get(order.get(world.random().nextInt(order.size())));
    resendCommands(world);
    world.after(
        randomDelay(world),
        () -> {
          count(world, "disk-lost", lost.host().name());
          lost.host().kill();
          lost.loseDisk();
          world.after(300, () -> lost.boot(false));
          killWhenRepaired(world, lost, second, 100);
        });
  }

  /** Kills the second controller, with its disk, right after the first is a voter again. */
  private static void killWhenRepaired(
      World world, SimController repaired, SimController second, int attempts) {
    world.after(
        50,
        () -> {
          boolean voting =
              repaired.node() != null
                  && repaired.host().isUp()
                  && world.leader().isPresent()
                  && world
                      .leader()
                      .get()
                      .node()
                      .controller()
                      .agreement()
                      .voters()
                      .voters()
                      .contains(repaired.node().controller().agreement().identity());
          if (voting) {
            count(world, "second-machine-lost", second.host().name());
            second.host().kill();
            second.loseDisk();
            world.after(randomOutage(world), () -> second.recover());
          } else if (attempts > 0) {
            killWhenRepaired(world, repaired, second, attempts - 1);
          }
        });
  }

  static void crashControllers(World world) {
    resendCommands(world);
    for (int i = 0; i < 5; i++) {
      world.after(MIN_DELAY_MILLIS + i * 2_000L, () -> crashOne(world));
    }
  }

  private static void crashOne(World world) {
    UniformRandomProvider random = world.random();
    List<SimController> all = new ArrayList<>(world.controllers().values());
    SimController victim = all.get(random.nextInt(all.size()));
    count(world, "controller-crashed-writing", victim.host().name());
    victim.disk().crashAfter(random.nextInt(4), length -> random.nextInt(length));
    world.after(1_200, () -> restartAfterCrash(world, victim));
  }

  private static void restartAfterCrash(World world, SimController victim) {
    victim.disk().crashAfter(Integer.MIN_VALUE, length -> 0);
    if (!victim.host().isUp()) {
      world.history().event("controller " + victim.host().name() + " restarts");
      victim.boot(false);
    }
  }

  // ---- proxies ----

  static void killProxies(World world) {
    for (int i = 0; i < 3; i++) {
      world.after(randomDelay(world) + i * 2_000L, () -> killProxy(world));
    }
  }

  private static void killProxy(World world) {
    SimProxy proxy = world.randomProxy(world.random());
    count(world, "proxy-killed", proxy.host().name());
    proxy.host().kill();
    world.after(
        randomOutage(world),
        () -> {
          if (!proxy.host().isUp()) {
            proxy.boot();
          }
        });
  }

  static void freezeProxy(World world) {
    world.after(randomDelay(world), () -> freeze(world, world.randomProxy(world.random()).host()));
  }

  static void restartProxies(World world) {
    int i = 0;
    for (SimProxy proxy : world.proxies().values()) {
      if (i < 3) {
        world.after(
            MIN_DELAY_MILLIS + i * RESTART_EVERY_MILLIS, () -> stopAndRestart(world, proxy));
      }
      i++;
    }
  }

  private static void stopAndRestart(World world, SimProxy proxy) {
    count(world, "proxy-stopped", proxy.host().name());
    proxy.restartPlanned();
  }

  // ---- operators ----

  static void drainMember(World world) {
    world.after(
        randomDelay(world), () -> firstReplica(world).ifPresent(each -> drain(world, each)));
  }

  private static Optional<SimMember> firstReplica(World world) {
    return world.members().values().stream().filter(each -> !each.isPrimary()).findFirst();
  }

  private static void drain(World world, SimMember member) {
    count(world, "member-drained", member.id());
    String name = nameOf(member);
    String drain =
        String.format("DRAIN MEMBER %s IN GROUP %s COMMAND 'drain-%s'", name, World.GROUP, name);
    world.sendUntilAccepted(drain, () -> world.history().drained(member.id(), true));
    world.after(8_000, () -> restore(world, member));
  }

  /** Lists a random member as leaving; each controller reads the list within its polling delay. */
  static void drainByPlatform(World world) {
    List<SimMember> members = new ArrayList<>(world.members().values());
    SimMember member = members.get(world.random().nextInt(members.size()));
    String name = nameOf(member);
    world.after(
        randomDelay(world),
        () -> {
          count(world, "platform-leaving", member.id());
          notifyControllers(world, Set.of(World.addressOf(name)));
          world.after(MAX_POLL_DELAY_MILLIS, () -> world.history().drained(member.id(), true));
        });
    world.after(
        12_000,
        () -> {
          notifyControllers(world, Set.of());
          world.after(MAX_POLL_DELAY_MILLIS, () -> restore(world, member));
        });
  }

  private static void notifyControllers(World world, Set<String> leaving) {
    for (SimController controller : world.controllers().values()) {
      world.after(
          world.random().nextInt(MAX_POLL_DELAY_MILLIS),
          () -> controller.node().onPlatformList(leaving));
    }
  }

  private static String nameOf(SimMember member) {
    return member.id().substring(member.id().indexOf('/') + 1);
  }

  private static void restore(World world, SimMember member) {
    world.history().drained(member.id(), false);
    String name = nameOf(member);
    world.sendUntilAccepted(
        String.format(
            "RESTORE MEMBER %s IN GROUP %s COMMAND 'restore-%s'", name, World.GROUP, name),
        () -> {});
  }

  static void switchPrimary(World world) {
    for (int i = 0; i < 3; i++) {
      world.after(MIN_DELAY_MILLIS + i * 4_000L, () -> switchOnce(world));
    }
  }

  private static SimMember switchOnce(World world) {
    List<SimMember> replicas =
        world.members().values().stream().filter(each -> !each.isPrimary()).toList();
    SimMember target = replicas.get(world.random().nextInt(replicas.size()));
    String name = nameOf(target);
    count(world, "primary-switched", name);
    world.sendStatement(
        "c2", "SWITCH PRIMARY OF GROUP " + World.GROUP + " TO " + name, result -> {});
    return target;
  }

  static void interruptSwitchover(World world) {
    world.after(MIN_DELAY_MILLIS, () -> interrupt(world, switchOnce(world)));
    world.after(MIN_DELAY_MILLIS + 6_000L, () -> interrupt(world, switchOnce(world)));
  }

  private static void interrupt(World world, SimMember target) {
    int victim = world.random().nextInt(3);
    world.after(
        world.random().nextInt(MAX_INTERRUPT_DELAY_MILLIS),
        () -> {
          switch (victim) {
            case 0 -> kill(world, target);
            case 1 -> world.primary().ifPresent(primary -> kill(world, primary));
            default -> world.leader().ifPresent(leader -> killController(world, leader));
          }
        });
  }

  private static void killController(World world, SimController controller) {
    count(world, "controller-killed", controller.host().name());
    controller.host().kill();
    world.after(randomOutage(world), controller::recover);
  }
}
