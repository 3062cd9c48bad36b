package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.version.image.TenantId;

/** Faults of a simulated run of a service whose members register themselves. */
public enum ServiceScenario {
  /** Routing documents are replaced and read; no process fails. */
  DOCUMENTS_CHANGE(ServiceScenario::changeDocuments),
  /** The primary's process is killed and later restarted. */
  PRIMARY_KILLED(ServiceScenario::killPrimary),
  /** The primary's host is cut off from all others without a reset of its connections. */
  PRIMARY_DARK(ServiceScenario::isolatePrimary),
  /** The primary announces that it drains, and is replaced. */
  PRIMARY_LEAVES(ServiceScenario::replacePrimary),
  /** All members are replaced, one after the other. */
  MEMBERS_REPLACED(ServiceScenario::replaceMembers),
  /** The primary is cut off from the replicas only, then killed. */
  PRIMARY_CUT_FROM_REPLICAS(ServiceScenario::cutPrimaryFromReplicas),
  /** The primary is cut off from some proxies. */
  PRIMARY_CUT_FROM_PROXIES(ServiceScenario::cutPrimaryFromProxies),
  /** Replicas lag far behind. */
  REPLICAS_BEHIND(ServiceScenario::lagReplicas),
  /** Connections to members break before an answer is sent. */
  ANSWERS_LOST(ServiceScenario::breakConnections),
  /** The promotion agent executes orders late and does not answer, while primaries are killed. */
  ORDERS_LATE(ServiceScenario::delayOrders),
  /** Proxies are killed and restarted. */
  PROXIES_KILLED(ServiceScenario::killProxies),
  /** A proxy is cut off from the controllers. */
  PROXY_UNHEARD(ServiceScenario::cutProxyFromControllers),
  /** The leading controller is cut off. */
  LEADER_CUT(ServiceScenario::cutLeader),
  /** The leading controller is killed during a change of primary. */
  LEADER_KILLED_DURING_CHANGE(ServiceScenario::killLeaderDuringChange),
  /** All controllers are killed at once. */
  CONTROLLERS_KILLED(ServiceScenario::killControllers),
  /** A controller loses its disk. */
  CONTROLLER_DISK_LOST(ServiceScenario::loseControllerDisk),
  /** Two of the scenarios above at once. */
  TWO_AT_ONCE(world -> startDistinct(world, 2)),
  /** Three of the scenarios above at once. */
  THREE_AT_ONCE(world -> startDistinct(world, 3)),
  /** Tenants' keys are replaced while their callers are connected. */
  KEYS_CHANGE(ServiceScenario::changeKeys),
  /** A tenant's limit is lowered far below the rate of its callers. */
  LIMIT_LOWERED(ServiceScenario::lowerLimit),
  /** Links between running proxies are reset repeatedly, also right after they were opened. */
  LINKS_RESET(ServiceScenario::resetLinks),
  /** The primary's process is killed and is back before its successor is promoted. */
  PRIMARY_RETURNS(ServiceScenario::returnPrimary),
  /** Members carry out requests of controllers late, while the primary is replaced or killed. */
  REQUESTS_LATE(ServiceScenario::delayRequests),
  /** All open connections to members go silent, while new ones work. */
  CONNECTIONS_SILENT(ServiceScenario::silenceConnections),
  /** All controllers and proxies lose power right after a document was acknowledged. */
  POWER_LOST(DocumentFaults::losePower),
  /** All controllers and proxies lose power likewise, and a controller loses its disk. */
  POWER_AND_DISK_LOST(DocumentFaults::losePowerAndDisk),
  /** Two documents under one version are sent at once, and controllers are restarted. */
  DOCUMENTS_RACE(DocumentFaults::race),
  /** Invalid and former documents are sent among valid ones. */
  DOCUMENTS_INVALID(DocumentFaults::mixInvalid),
  /** Many documents are sent within a short time. */
  DOCUMENTS_STORM(DocumentFaults::storm),
  /** Controllers are restarted while results of calls that they forwarded are held for them. */
  RESULTS_HELD(DocumentFaults::holdResults),
  /** Proxies are restarted while replies to their heartbeats are held for them. */
  REPLIES_HELD(DocumentFaults::holdReplies);

  private static final long MAX_DELAY_MILLIS = 3_000;
  private static final long OUTAGE_MILLIS = 4_000;
  private static final int RETURNS = 3;
  private static final long MIN_RETURN_MILLIS = 300;
  private static final long MAX_RETURN_MILLIS = 1_200;

  /** Time in which a service gets a primary again. */
  private static final long FIRST_PRIMARY_MILLIS = 2_000;

  /** Operations per second; each of a tenant's two callers runs about ten. */
  private static final double LOW_RATE = 1;

  private static final long DRAIN_MILLIS = 8_000;

  private final Consumer<ServiceWorld> start;

  ServiceScenario(Consumer<ServiceWorld> start) {
    this.start = start;
  }

  /**
   * Starts the faults.
   *
   * @param world running fleet
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

  /** Whether the scenario is about changes of the routing document under faults. */
  boolean changesDocumentsUnderFaults() {
    return compareTo(POWER_LOST) >= 0;
  }

  private static void afterRandomDelay(ServiceWorld world, Runnable task) {
    world.after(world.random().nextLong(MAX_DELAY_MILLIS), task);
  }

  private static void startDistinct(ServiceWorld world, int count) {
    Set<ServiceScenario> started = EnumSet.noneOf(ServiceScenario.class);
    while (started.size() < count) {
      ServiceScenario one = values()[world.random().nextInt(TWO_AT_ONCE.ordinal())];
      if (!started.add(one)) {
        // The same scenario twice could lose the disks of two of three controllers, a majority.
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
      afterRandomDelay(
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
    afterRandomDelay(
        world,
        () ->
            world
                .group()
                .primary()
                .ifPresent(
                    member -> {
                      world.faults().count("primary-killed");
                      member.host().kill();
                      world.after(OUTAGE_MILLIS, () -> restartIfKilled(member));
                    }));
  }

  private static void returnPrimary(ServiceWorld world) {
    for (int i = 0; i < RETURNS; i++) {
      long outage = MIN_RETURN_MILLIS + world.random().nextLong(MAX_RETURN_MILLIS);
      world.after(
          i * (FIRST_PRIMARY_MILLIS + MAX_RETURN_MILLIS),
          () ->
              world
                  .group()
                  .primary()
                  .ifPresent(
                      member -> {
                        world.faults().count("primary-returned");
                        member.host().kill();
                        world.after(outage, () -> restartIfKilled(member));
                      }));
    }
  }

  private static void delayRequests(ServiceWorld world) {
    world.group().setDelaysRequests(true);
    returnPrimary(world);
    replacePrimary(world);
  }

  private static void silenceConnections(ServiceWorld world) {
    afterRandomDelay(
        world,
        () -> {
          world.faults().count("connections-silent");
          world.members().values().forEach(SimServiceMember::silenceConnections);
        });
  }

  private static void restartIfKilled(SimServiceMember member) {
    if (!member.host().isUp() && !member.isRemoved()) {
      member.boot();
    }
  }

  private static void isolatePrimary(ServiceWorld world) {
    afterRandomDelay(
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

  private static void replacePrimary(ServiceWorld world) {
    afterRandomDelay(
        world, () -> world.group().primary().ifPresent(member -> replace(world, member)));
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
    world.after(500, () -> member.drainAndStop(DRAIN_MILLIS));
  }

  private static void cutPrimaryFromReplicas(ServiceWorld world) {
    afterRandomDelay(
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
    afterRandomDelay(
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

  private static void breakConnections(ServiceWorld world) {
    world.faults().count("answers-lost");
    world.setConnectionsBreak(true);
  }

  private static void delayOrders(ServiceWorld world) {
    world.group().setDelaysOrders(true);
    killPrimary(world);
    world.after(OUTAGE_MILLIS, () -> killPrimary(world));
  }

  private static void killProxies(ServiceWorld world) {
    for (SimServiceProxy proxy : world.proxies().values()) {
      if (world.random().nextBoolean()) {
        afterRandomDelay(
            world,
            () -> {
              world.faults().count("proxy-killed");
              proxy.host().kill();
              world.after(MAX_DELAY_MILLIS / 2, proxy::recover);
            });
      }
    }
  }

  private static void cutProxyFromControllers(ServiceWorld world) {
    afterRandomDelay(
        world,
        () -> {
          world.faults().count("proxy-unheard");
          world.cut("p" + (2 + world.random().nextInt(3)), World.CONTROLLERS);
        });
    changeDocuments(world);
  }

  private static void cutLeader(ServiceWorld world) {
    afterRandomDelay(
        world,
        () ->
            world
                .controllers()
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
                  .controllers()
                  .leader()
                  .ifPresent(
                      leader -> {
                        world.faults().count("leader-killed");
                        world.controllers().kill(leader);
                        world.after(600, () -> world.controllers().bootIfDown(leader));
                      }));
    }
  }

  private static void killControllers(ServiceWorld world) {
    changeDocuments(world);
    afterRandomDelay(
        world,
        () -> {
          world.faults().count("controllers-killed");
          World.CONTROLLERS.forEach(world.controllers()::kill);
          world.after(800, () -> World.CONTROLLERS.forEach(world.controllers()::bootIfDown));
        });
  }

  private static void resetLinks(ServiceWorld world) {
    LinkResets.start(
        world::after, world.network(), world.random(), List.copyOf(world.proxies().keySet()));
    world.faults().count("links-reset");
  }

  private static void loseControllerDisk(ServiceWorld world) {
    changeDocuments(world);
    afterRandomDelay(
        world,
        () -> {
          world.faults().count("controller-disk-lost");
          String victim = World.CONTROLLERS.get(world.random().nextInt(World.CONTROLLERS.size()));
          world.controllers().loseDisk(victim);
          world.after(1_000, () -> world.controllers().bootIfDown(victim));
        });
  }
}
