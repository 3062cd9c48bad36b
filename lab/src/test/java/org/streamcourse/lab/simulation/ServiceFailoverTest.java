package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bounds the time without writes when the primary fails or drains, while the fault persists. */
public class ServiceFailoverTest {
  private static final long SEEDS = 20;

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {ServiceScenario.PRIMARY_KILLED, ServiceSize.DEFAULT, 3_300},
      {ServiceScenario.PRIMARY_DARK, ServiceSize.DEFAULT, 3_900},
      {ServiceScenario.PRIMARY_LEAVES, ServiceSize.DEFAULT, 1_200},
      {ServiceScenario.PRIMARY_KILLED, ServiceSize.FEW_CONNECTIONS, 3_300},
      {ServiceScenario.PRIMARY_DARK, ServiceSize.FEW_CONNECTIONS, 3_900},
      {ServiceScenario.PRIMARY_LEAVES, ServiceSize.FEW_CONNECTIONS, 1_200}
    };
  }

  private static String excessiveGap(
      long seed, ServiceScenario scenario, ServiceSize size, long maxGapMillis) {
    ServiceWorld world = new ServiceWorld(seed, size);
    world.run(scenario::start);
    long gap = world.checks().longestWriteGapMillis();
    return gap <= maxGapMillis ? "" : "seed " + seed + ": " + gap + " ms without a write";
  }

  @Test(dataProvider = "faults")
  public void writesResumeWithinBound(
      ServiceScenario scenario, ServiceSize size, long maxGapMillis) {
    List<String> excessive =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> excessiveGap(seed, scenario, size, maxGapMillis))
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(String.join("; ", excessive), "");
  }
}
