package org.streamcourse.lab.simulation;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Faults of a simulated run; the run's seed decides their times and victims. */
public enum Scenario {
  /** Only the network's basic faults: loss, duplication and reordering of control messages. */
  CALM(world -> {}),
  /** The primary's process is killed and later restarted. */
  PRIMARY_KILLED(Faults::killPrimary),
  /** The primary's region is partitioned off while callers there keep their connections to it. */
  PRIMARY_CUT(Faults::cutPrimaryRegion),
  /** The primary freezes for seconds and resumes in the belief that it is still primary. */
  PRIMARY_FROZEN(Faults::freezePrimary),
  /** The newly promoted primary is killed right after the first one. */
  CHOSEN_DIES(Faults::killPrimaryAndSuccessor),
  /**
   * Controllers and the primary's gateways are cut off from each other; the gateways go on
   * acknowledging writes.
   */
  PRIMARY_UNHEARD(Faults::cutPrimaryGatewaysFromControllers),
  /** A member is drained while its gateways are cut off from the controllers. */
  DRAIN_UNHEARD(Faults::drainWhileGatewaysAreCutOff),
  /** One replica, or both, lag far behind. */
  REPLICA_BEHIND(Faults::lagReplicas),
  /** The controllers' leader is cut off without a connection reset and still believes it leads. */
  LEADER_CUT(Faults::cutLeader),
  /** The leading controller freezes and resumes. */
  LEADER_FROZEN(Faults::freezeLeader),
  /** Operators concurrently send different commands that expect the same version. */
  OPERATORS_RACE(Faults::raceOperators),
  /** An operator sends the same command to every controller, as after an answer was lost. */
  COMMAND_RESENT(Faults::resendCommands),
  /** A controller loses its disk and is restored, then a second controller loses its disk. */
  SECOND_MACHINE_LOST(Faults::loseTwoControllers),
  /** Controllers repeatedly crash in disk writes, leave torn tails, and restart. */
  CONTROLLERS_CRASH(Faults::crashControllers),
  /** Proxies are killed while transactions are open. */
  PROXY_KILLED(Faults::killProxies),
  /** A proxy freezes and resumes. */
  PROXY_FROZEN(Faults::freezeProxy),
  /** Proxies are restarted in an orderly way, one after the other. */
  ROLLING_RESTART(Faults::restartProxies),
  /** A member is drained and restored. */
  MEMBER_DRAINED(Faults::drainMember),
  /** Operators switch the primary over. */
  SWITCHOVER(Faults::switchPrimary),
  /** The leading controller, the target or the primary is killed during a switchover. */
  SWITCHOVER_INTERRUPTED(Faults::interruptSwitchover),
  /** A region with a controller, two proxies and a member is partitioned off, one way or both. */
  REGION_CUT(Faults::cutRegion),
  /** Proxies are cut off from the controllers for longer than their allowances last. */
  ALLOWANCE_LAPSED(Faults::cutProxiesPastAllowance),
  /** Two of the scenarios above at once. */
  TWO_AT_ONCE(Scenario::startTwo),
  /** The platform lists a member as leaving; each controller reads the list with a delay. */
  PLATFORM_LEAVING(Faults::drainByPlatform),
  /** Links between running proxies are reset repeatedly, also right after they were opened. */
  LINKS_RESET(Faults::resetLinks);

  /** Scenarios of planned operations only, in which callers must receive no error. */
  private static final Set<Scenario> PLANNED =
      EnumSet.of(
          CALM,
          OPERATORS_RACE,
          COMMAND_RESENT,
          ROLLING_RESTART,
          MEMBER_DRAINED,
          SWITCHOVER,
          PLATFORM_LEAVING);

  private final Consumer<World> start;

  Scenario(Consumer<World> start) {
    this.start = start;
  }

  /** Whether callers must receive no error other than the notice that their proxy stops. */
  boolean isPlanned() {
    return PLANNED.contains(this);
  }

  void start(World world) {
    start.accept(world);
  }

  /**
   * Finds a scenario by its name on the command line.
   *
   * @param name such as {@code primary-cut}
   * @return scenario if there is one
   */
  public static Optional<Scenario> named(String name) {
    return List.of(values()).stream().filter(each -> each.label().equals(name)).findFirst();
  }

  /**
   * Returns the name on the command line.
   *
   * @return lower case with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void startTwo(World world) {
    Scenario first = startAndRecord(world, draw(world));
    Scenario second = draw(world);
    while (first == SECOND_MACHINE_LOST && second == SECOND_MACHINE_LOST) {
      // Both would lose a disk before the other is restored; two of three voters are a majority.
      second = draw(world);
    }
    startAndRecord(world, second);
  }

  private static Scenario draw(World world) {
    return values()[world.random().nextInt(TWO_AT_ONCE.ordinal())];
  }

  private static Scenario startAndRecord(World world, Scenario one) {
    world.history().event("also " + one.label());
    one.start(world);
    return one;
  }
}
