package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** The failures that scenarios are made of. */
final class Faults {
  private static final int FIRST_MILLIS = 500;
  private static final int SPREAD_MILLIS = 2_500;
  private static final int LIST_LAG_MILLIS = 1_000;
  private static final int LONGEST_OUTAGE_MILLIS = 9_000;

  /** Within this time a planned change is about over. */
  private static final int SWITCHOVER_MILLIS = 250;

  private static final int PAST_ALLOWANCE_MILLIS = 13_000;
  private static final long RESTART_EVERY_MILLIS = 4_500;

  private Faults() {}

  private static long soon(World world) {
    return FIRST_MILLIS + world.random().nextInt(SPREAD_MILLIS);
  }

  private static long outage(World world) {
    return 200 + world.random().nextInt(LONGEST_OUTAGE_MILLIS);
  }

  private static void count(World world, String kind, String victim) {
    world.faults().count(kind);
    world.history().event(kind + " " + victim);
  }

  // ---- members ----

  static void killPrimary(World world) {
    world.after(soon(world), () -> world.primary().ifPresent(primary -> kill(world, primary)));
  }

  private static void kill(World world, SimMember member) {
    count(world, "member-killed", member.id());
    member.host().kill();
    world.after(
        outage(world),
        () -> {
          if (!member.host().isUp()) {
            member.boot();
          }
        });
  }

  static void killPrimaryTwice(World world) {
    world.after(
        soon(world),
        () ->
            world
                .primary()
                .ifPresent(
                    first -> {
                      kill(world, first);
                      killNext(world, first, 40);
                    }));
  }

  /** Kills whoever is primary next, as soon as there is one, so that it may be in mid-change. */
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
        soon(world), () -> world.primary().ifPresent(primary -> freeze(world, primary.host())));
  }

  private static void freeze(World world, SimHost host) {
    count(world, "process-frozen", host.name());
    host.freeze();
    world.after(outage(world), host::thaw);
  }

  static void lagReplicas(World world) {
    boolean both = world.random().nextBoolean();
    long lag = 300 + world.random().nextInt(6_000);
    world.after(
        soon(world),
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
        soon(world),
        () ->
            world
                .primary()
                .ifPresent(primary -> cutOff(world, primary.host().placement().region())));
  }

  static void cutRegion(World world) {
    world.after(soon(world), () -> cutOff(world, "r" + world.random().nextInt(3)));
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
    world.after(outage(world), world.network()::healAll);
  }

  static void cutLeader(World world) {
    world.after(soon(world), () -> world.leader().ifPresent(leader -> cutOff(world, leader)));
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
    world.after(outage(world), world.network()::healAll);
  }

  /** Cuts the proxies of a region from all controllers, and from nothing else. */
  private static void silence(World world, String region, long millis) {
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

  static void silencePastAllowance(World world) {
    String region = "r" + world.random().nextInt(3);
    world.after(FIRST_MILLIS, () -> silence(world, region, PAST_ALLOWANCE_MILLIS));
  }

  static void silencePrimaryGateways(World world) {
    world.after(
        soon(world),
        () ->
            world
                .primary()
                .ifPresent(
                    primary ->
                        silence(
                            world, primary.host().placement().region(), LONGEST_OUTAGE_MILLIS)));
  }

  static void drainUnheard(World world) {
    world.after(
        FIRST_MILLIS,
        () -> {
          Optional<SimMember> replica = firstReplica(world);
          replica.ifPresent(
              each -> silence(world, each.host().placement().region(), LONGEST_OUTAGE_MILLIS));
          world.after(soon(world), () -> replica.ifPresent(each -> drain(world, each)));
        });
  }

  // ---- controllers ----

  static void freezeLeader(World world) {
    world.after(
        soon(world), () -> world.leader().ifPresent(leader -> freeze(world, leader.host())));
  }

  static void raceOperators(World world) {
    for (int round = 0; round < 6; round++) {
      int number = round;
      world.after(FIRST_MILLIS + round * 1_500L, () -> race(world, number));
    }
  }

  private static void race(World world, int round) {
    long version = world.leaderImage().configurationVersion();
    for (int operator = 0; operator < World.CONTROLLERS.size(); operator++) {
      String sql =
          String.format(
              "ALTER GROUP %s SET max_staleness_ms = %d AT VERSION %d COMMAND 'race-%d-%d'",
              World.GROUP, 2_000 + round * 10 + operator, version, round, operator);
      count(world, "command-raced", sql);
      operateOnce(world, World.CONTROLLERS.get(operator), sql);
    }
  }

  /** Sends a command once and notes whether it was accepted. */
  private static void operateOnce(World world, String controller, String sql) {
    world.operate(
        controller,
        sql,
        result -> {
          if (result.sqlState().isEmpty()) {
            world.noteAccepted(sql, result);
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
          FIRST_MILLIS + i * 1_000L,
          () -> {
            count(world, "command-resent", sql);
            World.CONTROLLERS.forEach(controller -> operateOnce(world, controller, sql));
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
        soon(world),
        () -> {
          count(world, "disk-lost", lost.host().name());
          lost.host().kill();
          lost.loseDisk();
          world.after(300, () -> lost.boot(false));
          killWhenRepaired(world, lost, second, 100);
        });
  }

  /** Loses the second machine right after the first one is a voter again. */
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
            world.after(outage(world), () -> second.recover());
          } else if (attempts > 0) {
            killWhenRepaired(world, repaired, second, attempts - 1);
          }
        });
  }

  static void crashControllers(World world) {
    resendCommands(world);
    for (int i = 0; i < 5; i++) {
      world.after(FIRST_MILLIS + i * 2_000L, () -> crashOne(world));
    }
  }

  private static void crashOne(World world) {
    UniformRandomProvider random = world.random();
    List<SimController> all = new ArrayList<>(world.controllers().values());
    SimController victim = all.get(random.nextInt(all.size()));
    count(world, "controller-crashed-writing", victim.host().name());
    victim.disk().crashAfter(random.nextInt(4), length -> random.nextInt(length));
    world.after(1_200, () -> reboot(world, victim));
  }

  private static void reboot(World world, SimController victim) {
    victim.disk().crashAfter(Integer.MIN_VALUE, length -> 0);
    if (!victim.host().isUp()) {
      world.history().event("controller " + victim.host().name() + " starts again");
      victim.boot(false);
    }
  }

  // ---- proxies ----

  static void killProxies(World world) {
    for (int i = 0; i < 3; i++) {
      world.after(soon(world) + i * 2_000L, () -> killProxy(world));
    }
  }

  private static void killProxy(World world) {
    SimProxy proxy = world.randomProxy(world.random());
    count(world, "proxy-killed", proxy.host().name());
    proxy.host().kill();
    world.after(
        outage(world),
        () -> {
          if (!proxy.host().isUp()) {
            proxy.boot();
          }
        });
  }

  static void freezeProxy(World world) {
    world.after(soon(world), () -> freeze(world, world.randomProxy(world.random()).host()));
  }

  static void restartProxies(World world) {
    int i = 0;
    for (SimProxy proxy : world.proxies().values()) {
      if (i < 3) {
        world.after(FIRST_MILLIS + i * RESTART_EVERY_MILLIS, () -> stopAndRestart(world, proxy));
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
    world.after(soon(world), () -> firstReplica(world).ifPresent(each -> drain(world, each)));
  }

  private static Optional<SimMember> firstReplica(World world) {
    return world.members().values().stream().filter(each -> !each.isPrimary()).findFirst();
  }

  private static void drain(World world, SimMember member) {
    count(world, "member-drained", member.id());
    String name = nameOf(member);
    String drain =
        String.format("DRAIN MEMBER %s IN GROUP %s COMMAND 'drain-%s'", name, World.GROUP, name);
    world.operateUntilAccepted(drain, () -> world.history().drained(member.id(), true));
    world.after(8_000, () -> restore(world, member));
  }

  /** The list names any member, the primary too; controllers read it after up to a second. */
  static void leaveByPlatform(World world) {
    List<SimMember> members = new ArrayList<>(world.members().values());
    SimMember member = members.get(world.random().nextInt(members.size()));
    String name = nameOf(member);
    world.after(
        soon(world),
        () -> {
          count(world, "platform-leaving", member.id());
          tellControllers(world, Set.of(World.addressOf(name)));
          world.after(LIST_LAG_MILLIS, () -> world.history().drained(member.id(), true));
        });
    world.after(
        12_000,
        () -> {
          tellControllers(world, Set.of());
          world.after(LIST_LAG_MILLIS, () -> restore(world, member));
        });
  }

  private static void tellControllers(World world, Set<String> leaving) {
    for (SimController controller : world.controllers().values()) {
      world.after(
          world.random().nextInt(LIST_LAG_MILLIS), () -> controller.node().onPlatformList(leaving));
    }
  }

  private static String nameOf(SimMember member) {
    return member.id().substring(member.id().indexOf('/') + 1);
  }

  private static void restore(World world, SimMember member) {
    world.history().drained(member.id(), false);
    String name = nameOf(member);
    world.operateUntilAccepted(
        String.format(
            "RESTORE MEMBER %s IN GROUP %s COMMAND 'restore-%s'", name, World.GROUP, name),
        () -> {});
  }

  static void switchPrimary(World world) {
    for (int i = 0; i < 3; i++) {
      world.after(FIRST_MILLIS + i * 4_000L, () -> switchOnce(world));
    }
  }

  private static SimMember switchOnce(World world) {
    List<SimMember> replicas =
        world.members().values().stream().filter(each -> !each.isPrimary()).toList();
    SimMember target = replicas.get(world.random().nextInt(replicas.size()));
    String name = nameOf(target);
    count(world, "primary-switched", name);
    world.operate("c2", "SWITCH PRIMARY OF GROUP " + World.GROUP + " TO " + name, result -> {});
    return target;
  }

  static void interruptSwitchover(World world) {
    world.after(FIRST_MILLIS, () -> interrupt(world, switchOnce(world)));
    world.after(FIRST_MILLIS + 6_000L, () -> interrupt(world, switchOnce(world)));
  }

  private static void interrupt(World world, SimMember target) {
    int victim = world.random().nextInt(3);
    world.after(
        world.random().nextInt(SWITCHOVER_MILLIS),
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
    world.after(outage(world), controller::recover);
  }
}
