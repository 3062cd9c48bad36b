package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.lab.relay.Relay;

/**
 * The faults of a run, a function of the seed, the length and the topology alone.
 *
 * <p>Kinds are drawn like cards, so that each comes once before any comes again. Faults overlap,
 * except two of the same process: what one starts the other would end. At most one controller loses
 * its storage in a run, since a lost majority is outside what the product promises.
 */
final class FaultPlan {
  /** Mean time from one fault's begin to the next one's, which lets about three overlap. */
  static final long SPACING_MILLIS = 1_200;

  private static final long SHORTEST_MILLIS = 600;
  private static final long LONGEST_MILLIS = 6_000;

  /** Time for a process to start, before the next fault may hit it. */
  private static final long RESTART_MILLIS = 4_000;

  private static final long MAX_EXTRA_MICROS = 150_000;
  private static final long MAX_LAG_MILLIS = 3_000;
  private static final long LOWEST_STALENESS_MILLIS = 1_500;
  private static final int STALENESS_RANGE_MILLIS = 2_000;
  private static final int DRAWS = 20;

  /** What is drawn. */
  private enum Kind {
    SLOW,
    RESET,
    CUT,
    CUT_ONE_WAY,
    SILENCE,
    PAUSE,
    KILL,
    STOP,
    LOSE_STORAGE,
    REFUSE_STORAGE,
    CRASH_PRIMARY,
    PAUSE_PRIMARY,
    LAG,
    CHANGE_CONFIGURATION,
    SWITCH_PRIMARY,
    DRAIN
  }

  private final UniformRandomProvider random;
  private final Topology topology;
  private final long lengthMillis;
  private final List<Kind> deck = new ArrayList<>();
  private final Map<String, Long> freeAtMillis = new HashMap<>();
  private boolean controllerLostStorage;

  private FaultPlan(long seed, long lengthMillis, Topology topology) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.lengthMillis = lengthMillis;
    this.topology = topology;
  }

  /**
   * Draws the faults of a run.
   *
   * @param seed the seed
   * @param lengthMillis time within which all faults begin and end
   * @param topology what they may hit
   * @return faults in the order of their begin
   */
  static List<PlannedFault> of(long seed, long lengthMillis, Topology topology) {
    FaultPlan plan = new FaultPlan(seed, lengthMillis, topology);
    List<PlannedFault> faults = new ArrayList<>();
    long at = plan.upTo(SPACING_MILLIS);
    while (at + SHORTEST_MILLIS <= lengthMillis) {
      plan.draw(at).ifPresent(faults::add);
      at += SPACING_MILLIS / 2 + plan.upTo(SPACING_MILLIS);
    }
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return faults;
  }

  private Optional<PlannedFault> draw(long at) {
    long longest = Math.min(LONGEST_MILLIS, lengthMillis - at);
    long lasts = SHORTEST_MILLIS + upTo(longest - SHORTEST_MILLIS + 1);
    Kind kind = nextKind();
    for (int i = 0; i < DRAWS; i++) {
      PlannedFault candidate = new PlannedFault(at, lasts, faultOf(kind));
      if (isAllowed(candidate)) {
        note(candidate);
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private Kind nextKind() {
    if (deck.isEmpty()) {
      Collections.addAll(deck, Kind.values());
    }
    return deck.remove(random.nextInt(deck.size()));
  }

  private boolean isAllowed(PlannedFault candidate) {
    if (!(candidate.fault() instanceof Fault.ProcessFault fault)) {
      return true;
    }
    boolean losesController =
        fault instanceof Fault.LoseStorage && topology.controllers().contains(fault.process());
    boolean isFree = freeAtMillis.getOrDefault(fault.process(), 0L) <= candidate.atMillis();
    return isFree && !(losesController && controllerLostStorage);
  }

  private void note(PlannedFault planned) {
    if (planned.fault() instanceof Fault.ProcessFault fault) {
      freeAtMillis.put(fault.process(), planned.endMillis() + RESTART_MILLIS);
      controllerLostStorage |=
          fault instanceof Fault.LoseStorage && topology.controllers().contains(fault.process());
    }
  }

  private Fault faultOf(Kind kind) {
    return switch (kind) {
      case SLOW -> new Fault.SlowRoutes(anyRoutes(), 1 + upTo(MAX_EXTRA_MICROS));
      case RESET -> new Fault.ResetConnections(anyRoutes());
      case CUT -> new Fault.CutRoutes(anyRoutes());
      case CUT_ONE_WAY ->
          new Fault.CutOneWay(anyRoutes(), Relay.Direction.values()[random.nextInt(2)]);
      case SILENCE ->
          new Fault.SilenceConnections(new RouteSet(any(topology.routesBetweenProcesses()), false));
      case PAUSE -> new Fault.PauseProcess(any(topology.processes()));
      case KILL -> new Fault.KillProcess(any(topology.processes()));
      case STOP -> new Fault.StopProcess(any(topology.productProcesses()));
      case LOSE_STORAGE -> new Fault.LoseStorage(any(topology.productProcesses()));
      case REFUSE_STORAGE -> new Fault.RefuseStorage(any(topology.processes()));
      case CRASH_PRIMARY -> new Fault.CrashPrimary(any(topology.databases()));
      case PAUSE_PRIMARY -> new Fault.PausePrimary(any(topology.databases()));
      case LAG ->
          new Fault.LagMember(
              any(topology.databases()), any(topology.members()), 1 + upTo(MAX_LAG_MILLIS));
      case CHANGE_CONFIGURATION ->
          new Fault.ChangeConfiguration(
              any(topology.databases()), LOWEST_STALENESS_MILLIS + upTo(STALENESS_RANGE_MILLIS));
      case SWITCH_PRIMARY ->
          new Fault.SwitchPrimary(any(topology.databases()), any(topology.members()));
      case DRAIN -> new Fault.DrainMember(any(topology.databases()), any(topology.members()));
    };
  }

  private RouteSet anyRoutes() {
    return random.nextBoolean()
        ? new RouteSet(any(topology.processes()), true)
        : new RouteSet(any(topology.routes()), false);
  }

  private <T> T any(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  private long upTo(long bound) {
    return random.nextLong(Math.max(1, bound));
  }
}
