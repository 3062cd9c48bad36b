package org.streamcourse.lab.simulation;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** What fails in a simulated run; the exact moments and victims come from the run's seed. */
public enum Scenario {
  /** Only the network's usual faults: loss, duplication and reordering of control messages. */
  CALM(world -> {}),
  /** The primary's process dies, and later comes back. */
  PRIMARY_KILLED(Faults::killPrimary),
  /** The primary's region is cut off while callers there still hold connections to it. */
  PRIMARY_CUT(Faults::cutPrimaryRegion),
  /** The primary freezes for seconds and wakes up believing it is still primary. */
  PRIMARY_FROZEN(Faults::freezePrimary),
  /** The member chosen as the new primary dies right after. */
  CHOSEN_DIES(Faults::killPrimaryTwice),
  /** Controllers no longer hear the primary's gateways, which serve and acknowledge on. */
  PRIMARY_UNHEARD(Faults::silencePrimaryGateways),
  /** A member is drained while its gateways no longer hear the controllers. */
  DRAIN_UNHEARD(Faults::drainUnheard),
  /** One replica, or both, fall far behind. */
  REPLICA_BEHIND(Faults::lagReplicas),
  /** The leader of the controllers is cut off silently and still believes it leads. */
  LEADER_CUT(Faults::cutLeader),
  /** The leader's controller freezes and wakes up. */
  LEADER_FROZEN(Faults::freezeLeader),
  /** Operators send different commands that expect the same version. */
  OPERATORS_RACE(Faults::raceOperators),
  /** An operator resends a command whose answer was lost. */
  COMMAND_RESENT(Faults::resendCommands),
  /** A controller loses its disk, is repaired, and then a second one is lost. */
  SECOND_MACHINE_LOST(Faults::loseTwoControllers),
  /** Controllers crash at their disk writes, with torn tails, and come back, again and again. */
  CONTROLLERS_CRASH(Faults::crashControllers),
  /** Proxies die while transactions are open. */
  PROXY_KILLED(Faults::killProxies),
  /** A proxy freezes and wakes up. */
  PROXY_FROZEN(Faults::freezeProxy),
  /** Proxies are stopped as planned, one after the other. */
  ROLLING_RESTART(Faults::restartProxies),
  /** A member is drained and restored. */
  MEMBER_DRAINED(Faults::drainMember),
  /** The primary is changed as planned. */
  SWITCHOVER(Faults::switchPrimary),
  /** The leader, the target or the former primary dies in the middle of a planned change. */
  SWITCHOVER_INTERRUPTED(Faults::interruptSwitchover),
  /** The whole region of a controller, two proxies and a member is cut off, one way or both. */
  REGION_CUT(Faults::cutRegion),
  /** Proxies are unheard for longer than the controllers keep their parts of the limits. */
  ALLOWANCE_LAPSED(Faults::silencePastAllowance),
  /** Two of the failures above at once. */
  TWO_AT_ONCE(Scenario::startTwo),
  /** The platform's list, which each controller reads late, calls a member leaving. */
  PLATFORM_LEAVING(Faults::leaveByPlatform),
  /** Links between living proxies are reset again and again, also right after they were opened. */
  LINKS_RESET(Faults::resetLinks);

  /** Scenarios of nothing but planned work, in which callers must see no error at all. */
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

  /** Whether callers must see no error, but for the word that their proxy stops. */
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
    Scenario first = startOneOfTwo(world, drawOneOfTwo(world));
    Scenario second = drawOneOfTwo(world);
    while (first == SECOND_MACHINE_LOST && second == SECOND_MACHINE_LOST) {
      // Both would lose a disk before the other is repaired: two of three are more than is borne.
      second = drawOneOfTwo(world);
    }
    startOneOfTwo(world, second);
  }

  private static Scenario drawOneOfTwo(World world) {
    return values()[world.random().nextInt(TWO_AT_ONCE.ordinal())];
  }

  private static Scenario startOneOfTwo(World world, Scenario one) {
    world.history().event("also " + one.label());
    one.start(world);
    return one;
  }
}
