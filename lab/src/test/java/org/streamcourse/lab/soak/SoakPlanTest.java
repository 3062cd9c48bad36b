package org.streamcourse.lab.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The fault plan of a topology is determined by its seed and respects its limits. */
public class SoakPlanTest {
  private static final long LENGTH_MILLIS = 30_000;
  private static final int SEEDS = 200;
  private static final Topology TOPOLOGY =
      new Topology(
          List.of("c1", "c2", "c3"),
          List.of("p1", "p2"),
          List.of("group1"),
          List.of("m1", "m2", "m3"),
          List.of("callers->p1", "link:p1->c1", "sql:p1->group1/m1", "log:group1/m1->m2"));

  private static Stream<List<PlannedFault>> plans() {
    return LongStream.range(0, SEEDS).mapToObj(seed -> FaultPlan.of(seed, LENGTH_MILLIS, TOPOLOGY));
  }

  @Test
  public void sameSeedGivesTheSamePlan() {
    assertEquals(
        FaultPlan.of(7, LENGTH_MILLIS, TOPOLOGY), FaultPlan.of(7, LENGTH_MILLIS, TOPOLOGY));
    assertNotEquals(
        FaultPlan.of(7, LENGTH_MILLIS, TOPOLOGY), FaultPlan.of(8, LENGTH_MILLIS, TOPOLOGY));
  }

  @Test
  public void faultsBeginAndEndWithinTheRun() {
    plans()
        .flatMap(List::stream)
        .forEach(
            each -> {
              assertTrue(each.atMillis() >= 0 && each.lastsMillis() > 0, each.toString());
              assertTrue(each.endMillis() <= LENGTH_MILLIS, each.toString());
            });
  }

  @Test
  public void faultsOverlapExceptThoseOfOneProcess() {
    plans().forEach(SoakPlanTest::assertNoOverlapWithinAProcess);
    assertTrue(plans().allMatch(SoakPlanTest::hasOverlap), "a plan has no overlap");
  }

  private static void assertNoOverlapWithinAProcess(List<PlannedFault> plan) {
    Map<String, Long> ends = new HashMap<>();
    for (PlannedFault each : plan) {
      if (each.fault() instanceof Fault.ProcessFault fault) {
        assertTrue(ends.getOrDefault(fault.process(), 0L) <= each.atMillis(), plan.toString());
        ends.put(fault.process(), each.endMillis());
      }
    }
  }

  private static boolean hasOverlap(List<PlannedFault> plan) {
    for (int i = 1; i < plan.size(); i++) {
      if (plan.get(i).atMillis() < plan.get(i - 1).endMillis()) {
        return true;
      }
    }
    return false;
  }

  @Test
  public void atMostOneControllerLosesItsStorage() {
    plans()
        .forEach(
            plan -> {
              long lost =
                  plan.stream()
                      .map(PlannedFault::fault)
                      .filter(Fault.LoseStorage.class::isInstance)
                      .map(Fault.LoseStorage.class::cast)
                      .filter(fault -> TOPOLOGY.controllers().contains(fault.process()))
                      .count();
              assertTrue(lost <= 1, plan.toString());
            });
  }

  @Test
  public void membersNeverLoseTheirStorage() {
    plans()
        .flatMap(List::stream)
        .map(PlannedFault::fault)
        .filter(Fault.LoseStorage.class::isInstance)
        .map(Fault.LoseStorage.class::cast)
        .forEach(fault -> assertTrue(TOPOLOGY.productProcesses().contains(fault.process())));
  }

  @Test
  public void everyKindOfFaultIsDrawn() {
    Set<Class<?>> drawn =
        plans()
            .flatMap(List::stream)
            .map(each -> each.fault().getClass())
            .collect(Collectors.toCollection(HashSet::new));
    assertEquals(drawn, kindsOf(Fault.class).collect(Collectors.toSet()));
  }

  private static Stream<Class<?>> kindsOf(Class<?> type) {
    return type.isSealed()
        ? Arrays.stream(type.getPermittedSubclasses()).flatMap(SoakPlanTest::kindsOf)
        : Stream.of(type);
  }

  @Test
  public void routeSetsMatchTheProcessesAtTheEndsOfARoute() {
    assertEquals(RouteSet.endsOf("callers->p1"), List.of("p1"));
    assertEquals(RouteSet.endsOf("link:p1->c2"), List.of("p1", "c2"));
    assertEquals(RouteSet.endsOf("sql:p1->group1/m1"), List.of("p1", "group1-m1"));
    assertEquals(RouteSet.endsOf("log:group1/m1->m2"), List.of("group1-m1", "group1-m2"));
    assertTrue(new RouteSet("p1", true).contains("link:c1->p1"));
    assertFalse(new RouteSet("p1", true).contains("link:c1->p2"));
    assertFalse(new RouteSet("link:c1->p1", false).contains("link:p1->c1"));
    assertFalse(TOPOLOGY.routesBetweenProcesses().contains("callers->p1"));
  }
}
