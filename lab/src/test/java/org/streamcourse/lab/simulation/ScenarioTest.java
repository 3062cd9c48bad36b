package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks every invariant in every scenario for many seeds, and that runs are deterministic. */
public class ScenarioTest {
  private static final long SEEDS = Long.getLong("streamcourse.seeds", 200);

  /** Invariants that every run checks many times. */
  private static final List<String> ALWAYS_CHECKED =
      List.of(
          "read-your-writes",
          "staleness",
          "acknowledged-is-kept",
          "at-most-once",
          "not-run-is-true",
          "no-mixing",
          "whole-own-answer",
          "connection-limit",
          "slot-limit",
          "one-leader-a-term",
          "version-never-reverts",
          "accepted-is-kept",
          "in-force-everywhere",
          "serves-again");

  private static final long REPEATED_SEEDS = 12;
  private static final long DRAWN_SEEDS = 2_000;
  private static final List<Scenario> REPEATED =
      List.of(
          Scenario.TWO_AT_ONCE,
          Scenario.ROLLING_RESTART,
          Scenario.PROXY_KILLED,
          Scenario.SECOND_MACHINE_LOST);

  private record Run(long seed, Scenario scenario) {}

  private record Trace(
      List<String> events, Map<String, Long> faults, Map<String, Long> checks, long reads) {}

  private record Outcome(long seed, History history, FaultCounter faults) {}

  @DataProvider
  public Object[][] scenarios() {
    return Arrays.stream(Scenario.values())
        .map(each -> new Object[] {each})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "scenarios")
  public void holdsEveryInvariant(Scenario scenario) {
    List<Outcome> outcomes =
        LongStream.rangeClosed(1, SEEDS).parallel().mapToObj(seed -> run(seed, scenario)).toList();
    List<String> violations =
        outcomes.stream()
            .flatMap(
                each ->
                    each.history().violations().stream().map(v -> "seed " + each.seed() + " " + v))
            .toList();
    assertEquals(violations, List.of());
    FaultCounter checks = new FaultCounter();
    outcomes.forEach(each -> checks.addAll(each.history().checks()));
    for (String invariant : ALWAYS_CHECKED) {
      assertTrue(
          checks.counts().getOrDefault(invariant, 0L) >= SEEDS,
          invariant + " was checked less than once per seed");
    }
  }

  private static Outcome run(long seed, Scenario scenario) {
    World world = new World(seed, new SimHooks());
    world.run(scenario);
    return new Outcome(seed, world.history(), world.faults());
  }

  /**
   * Guards against a scenario that loses the disks of two of three controllers, a majority, before
   * one of them is restored.
   */
  @Test
  public void twoAtOnceLosesDisksAtMostOnce() {
    String loss = "also " + Scenario.SECOND_MACHINE_LOST.label();
    for (long seed = 1; seed <= DRAWN_SEEDS; seed++) {
      World world = new World(seed, new SimHooks());
      Scenario.TWO_AT_ONCE.start(world);
      long losses = world.history().events().stream().filter(event -> event.endsWith(loss)).count();
      assertTrue(losses <= 1, "seed " + seed + " loses " + losses);
    }
  }

  @Test
  public void sameSeedGivesTheSameHistory() {
    List<String> differing =
        LongStream.rangeClosed(1, REPEATED_SEEDS)
            .boxed()
            .flatMap(seed -> REPEATED.stream().map(scenario -> new Run(seed, scenario)))
            .parallel()
            .filter(each -> !trace(each).equals(trace(each)))
            .map(Run::toString)
            .toList();
    assertEquals(differing, List.of());
  }

  @Test
  public void anotherSeedGivesAnotherHistory() {
    for (Scenario scenario : REPEATED) {
      assertNotEquals(trace(new Run(5, scenario)), trace(new Run(6, scenario)), scenario.label());
    }
  }

  /**
   * Includes counts, which depend on every message: some scenarios have few events at fixed times.
   */
  private static Trace trace(Run run) {
    World world = new World(run.seed(), new SimHooks());
    world.run(run.scenario());
    History history = world.history();
    assertTrue(history.events().size() > 5, run + " has too few events");
    return new Trace(
        history.events(), world.faults().counts(), history.checks().counts(), history.reads());
  }
}
