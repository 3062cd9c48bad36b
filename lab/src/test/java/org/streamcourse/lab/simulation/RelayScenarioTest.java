package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.streamcourse.request.statement.AnswerCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks every invariant in fleets with more proxies than a member accepts connections. */
public class RelayScenarioTest {
  private static final long SEEDS = 8;

  /** Proxies and connections of a large deployment. */
  private static final ServiceSize SEVENTY_PROXIES = new ServiceSize(70, 53, 0);

  @DataProvider
  public Object[][] scenarios() {
    return Arrays.stream(ServiceScenario.values())
        .map(each -> new Object[] {each})
        .toArray(Object[][]::new);
  }

  private static ServiceWorld run(long seed, ServiceSize size, ServiceScenario scenario) {
    ServiceWorld world = new ServiceWorld(seed, size);
    world.run(scenario::start);
    return world;
  }

  @Test(dataProvider = "scenarios")
  public void holdsEveryInvariant(ServiceScenario scenario) {
    List<ServiceWorld> worlds =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> run(seed, ServiceSize.FEW_CONNECTIONS, scenario))
            .toList();
    for (int i = 0; i < worlds.size(); i++) {
      ServiceChecks checks = worlds.get(i).checks();
      assertEquals(
          checks.violations(),
          List.of(),
          scenario.label() + " seed " + (i + 1) + ": " + checks.lastEvents());
    }
  }

  @DataProvider
  public Object[][] seedsWithFormerDoubleWrites() {
    return new Object[][] {{51L}, {843L}, {932L}};
  }

  /** Guards against a write that runs twice because the link between two proxies was reset. */
  @Test(dataProvider = "seedsWithFormerDoubleWrites")
  public void writeOnResetLinkRunsOnce(long seed) {
    ServiceWorld world = run(seed, ServiceSize.FEW_CONNECTIONS, ServiceScenario.LINKS_RESET);
    assertEquals(world.checks().violations(), List.of(), "" + world.checks().lastEvents());
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{ServiceSize.FEW_CONNECTIONS}, {SEVENTY_PROXIES}};
  }

  @Test(dataProvider = "sizes")
  public void faultlessRunCompletesAllStatementsWithinConnectionLimits(ServiceSize size) {
    for (long seed = 1; seed <= 4; seed++) {
      ServiceWorld world = new ServiceWorld(seed, size);
      world.run(any -> {});
      assertEquals(world.checks().violations(), List.of());
      assertEquals(world.checks().refusedConnections(), 0, "connections over the limit");
      for (AnswerCode code : AnswerCode.values()) {
        long count = world.checks().count(code);
        assertTrue(code == AnswerCode.COMPLETE ? count > 500 : count == 0, code + " " + count);
      }
    }
  }
}
