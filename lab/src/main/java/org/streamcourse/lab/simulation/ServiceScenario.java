package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.version.image.TenantId;

/** What fails around a service whose members register themselves. */
public enum ServiceScenario {
  /** Only documents that change, and reads of them. */
  DOCUMENTS_CHANGE(ServiceScenario::changeDocuments),
  /** The primary's process dies and comes back later. */
  PRIMARY_KILLED(ServiceScenario::killPrimary),
  /** The primary's machine falls silent, with connections standing. */
  PRIMARY_DARK(ServiceScenario::darkenPrimary),
  /** The primary says that it leaves. */
  PRIMARY_LEAVES(ServiceScenario::letPrimaryLeave),
  /** All members are replaced, one after the other. */
  MEMBERS_REPLACED(ServiceScenario::replaceMembers),
  /** The primary is cut off from the replicas only, then dies. */
  PRIMARY_CUT_FROM_REPLICAS(ServiceScenario::cutPrimaryFromReplicas),
  /** The primary is cut off from some proxies. */
  PRIMARY_CUT_FROM_PROXIES(ServiceScenario::cutPrimaryFromProxies),
  /** Replicas fall far behind. */
  REPLICAS_BEHIND(ServiceScenario::lagReplicas),
  /** Answers of members break off. */
  ANSWERS_LOST(ServiceScenario::loseAnswers),
  /** Orders to the outside agent get no answer and are carried out late, while primaries die. */
  ORDERS_LATE(ServiceScenario::delayOrders),
  /** Proxies die and come back. */
  PROXIES_KILLED(ServiceScenario::killProxies),
  /** A proxy is cut off from the controllers. */
  PROXY_UNHEARD(ServiceScenario::cutProxy),
  /** The leading controller is cut off. */
  LEADER_CUT(ServiceScenario::cutLeader),
  /** The leading controller dies while a change of primary is under way. */
  LEADER_KILLED_DURING_CHANGE(ServiceScenario::killLeaderDuringChange),
  /** All controllers are killed at once. */
  CONTROLLERS_KILLED(ServiceScenario::killControllers),
  /** A controller loses its disk. */
  CONTROLLER_DISK_LOST(ServiceScenario::loseDisk),
  /** Two of the failures above at once. */
  TWO_AT_ONCE(world -> startSome(world, 2)),
  /** Three of the failures above at once. */
  THREE_AT_ONCE(world -> startSome(world, 3)),
  /** Keys of tenants are replaced while their callers are connected. */
  KEYS_CHANGE(ServiceScenario::changeKeys),
  /** A tenant's limit is lowered far below what its callers do. */
  LIMIT_LOWERED(ServiceScenario::lowerLimit),
  /** Links between living proxies are reset again and again, also right after they were opened. */
  LINKS_RESET(ServiceScenario::resetLinks);

  private static final long MOST_DELAY_MILLIS = 3_000;
  private static final long OUTAGE_MILLIS = 4_000;

  /** Operations a second; each of a tenant's two callers does some ten. */
  private static final double LOW_RATE = 1;

  private static final long SERVE_MILLIS = 8_000;

  private final Consumer<ServiceWorld> start;

  ServiceScenario(Consumer<ServiceWorld> start) {
    this.start = start;
  }

  /**
   * Starts what fails.
   *
   * @param world a fleet at work
   */
  public void start(ServiceWorld world) {
    start.accept(world);
  }

  /**
   * Returns the name on the command line.
   *
   * @return lower case with hyphens
   */
  public String label() {
    return "service-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void soon(ServiceWorld world, Runnable task) {
    world.after(world.random().nextLong(MOST_DELAY_MILLIS), task);
  }

  private static void startSome(ServiceWorld world, int count) {
    Set<ServiceScenario> started = EnumSet.noneOf(ServiceScenario.class);
    while (started.size() < count) {
      ServiceScenario one = values()[world.random().nextInt(TWO_AT_ONCE.ordinal())];
      if (!started.add(one)) {
        // Twice the same would lose two disks of three, more than is borne.
        continue;
      }
      world.checks().event("also " + one.label());
      one.start(world);
    }
  }

  private static void changeDocuments(ServiceWorld world) {
    for (int i = 0; i < 8; i++) {
      world.after(i * 700L, world.operator()::replaceDocument);
      world.after(i * 500L, world.operator()::fetchDocument);
    }
  }

  private static void changeKeys(ServiceWorld world) {
    for (TenantId tenant : world.operator().tenants()) {
      soon(
          world,
          () -> {
            world.faults().count("key-changed");
            world.operator().changeKey(tenant);
          });
    }
  }

  private static void lowerLimit(ServiceWorld world) {
    TenantId tenant = world.operator().tenants().get(0);
    world.faults().count("limit-lowered");
    world.operator().lowerLimit(tenant, LOW_RATE);
  }

  private static void killPrimary(ServiceWorld world) {
    soon(
        world,
        () ->
            world
                .group()
                .primary()
                .ifPresent(
                    member -> {
                      world.faults().count("primary-killed");
                      member.host().kill();
                      world.after(OUTAGE_MILLIS, () -> revive(member));
                    }));
  }

  private static void revive(SimServiceMember member) {
    if (!member.host().isUp() && !member.hasDeparted()) {
      member.boot();
    }
  }

  private static void darkenPrimary(ServiceWorld world) {
    soon(
        world,
        () ->
            world
                .group()
                .primary()
                .ifPresent(
                    member -> {
                      world.faults().count("primary-dark");
                      world.cut(member.host().name(), world.hostNames());
                    }));
  }

  private static void letPrimaryLeave(ServiceWorld world) {
    soon(world, () -> world.group().primary().ifPresent(member -> replace(world, member)));
  }

  private static void replaceMembers(ServiceWorld world) {
    List<SimServiceMember> present = new ArrayList<>(world.members().values());
    for (int i = 0; i < present.size(); i++) {
      SimServiceMember member = present.get(i);
      world.after(i * 1_500L, () -> replace(world, member));
    }
  }

  private static void replace(ServiceWorld world, SimServiceMember member) {
    if (!member.host().isUp()) {
      return;
    }
    world.faults().count("member-replaced");
    SimServiceMember successor = world.newMember(world.random().nextInt(3));
    successor.boot();
    world.after(500, () -> member.leave(SERVE_MILLIS));
  }

  private static void cutPrimaryFromReplicas(ServiceWorld world) {
    soon(
        world,
        () ->
            world
                .group()
                .primary()
                .ifPresent(
                    member -> {
                      world.faults().count("primary-cut-from-replicas");
                      List<String> others =
                          world.members().keySet().stream()
                              .filter(name -> !name.equals(member.host().name()))
                              .toList();
                      world.cut(member.host().name(), others);
                      world.after(OUTAGE_MILLIS / 2, member.host()::kill);
                    }));
  }

  private static void cutPrimaryFromProxies(ServiceWorld world) {
    soon(
        world,
        () ->
            world
                .group()
                .primary()
                .ifPresent(
                    member -> {
                      world.faults().count("primary-cut-from-proxies");
                      world.cut(member.host().name(), List.of("p1", "p2"));
                    }));
  }

  private static void lagReplicas(ServiceWorld world) {
    world.faults().count("replicas-behind");
    UniformRandomProvider random = world.random();
    world.members().values().forEach(member -> member.setLagMillis(random.nextLong(2_500)));
  }

  private static void loseAnswers(ServiceWorld world) {
    world.faults().count("answers-lost");
    world.setLostAnswers(true);
  }

  private static void delayOrders(ServiceWorld world) {
    world.group().setLateOrders(true);
    killPrimary(world);
    world.after(OUTAGE_MILLIS, () -> killPrimary(world));
  }

  private static void killProxies(ServiceWorld world) {
    for (SimServiceProxy proxy : world.proxies().values()) {
      if (world.random().nextBoolean()) {
        soon(
            world,
            () -> {
              world.faults().count("proxy-killed");
              proxy.host().kill();
              world.after(MOST_DELAY_MILLIS / 2, proxy::recover);
            });
      }
    }
  }

  private static void cutProxy(ServiceWorld world) {
    soon(
        world,
        () -> {
          world.faults().count("proxy-unheard");
          world.cut("p" + (2 + world.random().nextInt(3)), World.CONTROLLERS);
        });
    changeDocuments(world);
  }

  private static void cutLeader(ServiceWorld world) {
    soon(
        world,
        () ->
            world
                .leader()
                .ifPresent(
                    leader -> {
                      world.faults().count("leader-cut");
                      world.cut(leader, world.hostNames());
                    }));
    changeDocuments(world);
  }

  private static void killLeaderDuringChange(ServiceWorld world) {
    killPrimary(world);
    for (int i = 0; i < 4; i++) {
      world.after(
          500 + i * 1_000L,
          () ->
              world
                  .leader()
                  .ifPresent(
                      leader -> {
                        world.faults().count("leader-killed");
                        world.killController(leader);
                        world.after(600, () -> bootIfDown(world, leader));
                      }));
    }
  }

  private static void killControllers(ServiceWorld world) {
    changeDocuments(world);
    soon(
        world,
        () -> {
          world.faults().count("controllers-killed");
          World.CONTROLLERS.forEach(world::killController);
          world.after(800, () -> World.CONTROLLERS.forEach(name -> bootIfDown(world, name)));
        });
  }

  private static void resetLinks(ServiceWorld world) {
    LinkResets.start(
        world::after, world.network(), world.random(), List.copyOf(world.proxies().keySet()));
    world.faults().count("links-reset");
  }

  private static void bootIfDown(ServiceWorld world, String controller) {
    if (!world.isUp(controller)) {
      world.bootController(controller, false);
    }
  }

  private static void loseDisk(ServiceWorld world) {
    changeDocuments(world);
    soon(
        world,
        () -> {
          world.faults().count("controller-disk-lost");
          String victim = World.CONTROLLERS.get(world.random().nextInt(World.CONTROLLERS.size()));
          world.loseControllerDisk(victim);
          world.after(1_000, () -> bootIfDown(world, victim));
        });
  }
}
