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
 * The faults of a run, determined by the seed, the run's length and the topology alone.
 *
 * <p>Kinds are drawn without replacement, so that each kind occurs once before any occurs again.
 * Faults overlap, except two of the same process: one would kill a process that the other has just
 * started. At most one controller loses its storage in a run, since the product does not guarantee
 * anything after the loss of a majority.
 */
final class FaultPlan {
  /** Mean time between the starts of two faults, at which about three faults overlap. */
  static final long SPACING_MILLIS = 1_200;

  private static final long MIN_DURATION_MILLIS = 600;
  private static final long MAX_DURATION_MILLIS = 6_000;

  /** Time that a process has to start before the next fault of that process may begin. */
  private static final long RESTART_MILLIS = 4_000;

  private static final long MAX_EXTRA_MICROS = 150_000;
  private static final long MAX_LAG_MILLIS = 3_000;
  private static final long MIN_STALENESS_LIMIT_MILLIS = 1_500;
  private static final int STALENESS_RANGE_MILLIS = 2_000;
  private static final int MAX_ATTEMPTS = 20;

  /** Kind of fault; the order of the constants decides what a seed draws. */
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
  private final List<Kind> undrawn = new ArrayList<>();
  private final Map<String, Long> freeAtMillis = new HashMap<>();
  private boolean controllerLostStorage;

  private FaultPlan(long seed, long lengthMillis, Topology topology) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.lengthMillis = lengthMillis;
    this.topology = topology;
  }

  /**
   * Plans the faults of a run.
   *
   * @param seed the seed
   * @param lengthMillis time within which all faults begin and end
   * @param topology processes, groups and routes that faults may affect
   * @return faults in the order of their start
   */
  static List<PlannedFault> of(long seed, long lengthMillis, Topology topology) {
    FaultPlan plan = new FaultPlan(seed, lengthMillis, topology);
    List<PlannedFault> faults = new ArrayList<>();
    long at = plan.randomBelow(SPACING_MILLIS);
    while (at + MIN_DURATION_MILLIS <= lengthMillis) {
      plan.draw(at).ifPresent(faults::add);
      at += SPACING_MILLIS / 2 + plan.randomBelow(SPACING_MILLIS);
    }
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return faults;
  }

  private Optional<PlannedFault> draw(long at) {
    long longest = Math.min(MAX_DURATION_MILLIS, lengthMillis - at);
    long durationMillis = MIN_DURATION_MILLIS + randomBelow(longest - MIN_DURATION_MILLIS + 1);
    Kind kind = nextKind();
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      PlannedFault candidate = new PlannedFault(at, durationMillis, faultOf(kind));
      if (isAllowed(candidate)) {
        reserve(candidate);
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private Kind nextKind() {
    if (undrawn.isEmpty()) {
      Collections.addAll(undrawn, Kind.values());
    }
    return undrawn.remove(random.nextInt(undrawn.size()));
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

  private void reserve(PlannedFault planned) {
    if (planned.fault() instanceof Fault.ProcessFault fault) {
      freeAtMillis.put(fault.process(), planned.endMillis() + RESTART_MILLIS);
      controllerLostStorage |=
          fault instanceof Fault.LoseStorage && topology.controllers().contains(fault.process());
    }
  }

  private Fault faultOf(Kind kind) {
    return switch (kind) {
      case SLOW -> new Fault.SlowRoutes(randomRoutes(), 1 + randomBelow(MAX_EXTRA_MICROS));
      case RESET -> new Fault.ResetConnections(randomRoutes());
      case CUT -> new Fault.CutRoutes(randomRoutes());
      case CUT_ONE_WAY ->
          new Fault.CutOneWay(randomRoutes(), Relay.Direction.values()[random.nextInt(2)]);
      case SILENCE ->
          new Fault.SilenceConnections(
              new RouteSet(randomOf(topology.routesBetweenProcesses()), false));
      case PAUSE -> new Fault.PauseProcess(randomOf(topology.processes()));
      case KILL -> new Fault.KillProcess(randomOf(topology.processes()));
      case STOP -> new Fault.StopProcess(randomOf(topology.productProcesses()));
      case LOSE_STORAGE -> new Fault.LoseStorage(randomOf(topology.productProcesses()));
      case REFUSE_STORAGE -> new Fault.RefuseStorage(randomOf(topology.processes()));
      case CRASH_PRIMARY -> new Fault.CrashPrimary(randomOf(topology.databases()));
      case PAUSE_PRIMARY -> new Fault.PausePrimary(randomOf(topology.databases()));
      case LAG ->
          new Fault.LagMember(
              randomOf(topology.databases()),
              randomOf(topology.members()),
              1 + randomBelow(MAX_LAG_MILLIS));
      case CHANGE_CONFIGURATION ->
          new Fault.ChangeConfiguration(
              randomOf(topology.databases()),
              MIN_STALENESS_LIMIT_MILLIS + randomBelow(STALENESS_RANGE_MILLIS));
      case SWITCH_PRIMARY ->
          new Fault.SwitchPrimary(randomOf(topology.databases()), randomOf(topology.members()));
      case DRAIN ->
          new Fault.DrainMember(randomOf(topology.databases()), randomOf(topology.members()));
    };
  }

  private RouteSet randomRoutes() {
    return random.nextBoolean()
        ? new RouteSet(randomOf(topology.processes()), true)
        : new RouteSet(randomOf(topology.routes()), false);
  }

  private <T> T randomOf(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  private long randomBelow(long bound) {
    return random.nextLong(Math.max(1, bound));
  }
}
