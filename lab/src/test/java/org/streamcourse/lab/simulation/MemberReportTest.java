package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Guards against a dead member that the leader reports to operators as reachable, on the basis of
 * outdated reports by the member's former gateways.
 */
public class MemberReportTest {
  private static final long SEEDS = 8;
  private static final long KILL_AT_MILLIS = 12_000;
  private static final long REPORT_AT_MILLIS = 13_800;

  /** Restarts proxies one after the other, so that other nodes act as gateways temporarily. */
  private static List<String> deadMembersReportedReachable(long seed) {
    World world = new World(seed, new SimHooks());
    List<String> reported = new ArrayList<>();
    world.run(
        false,
        running -> {
          Faults.restartProxies(running);
          running.after(
              KILL_AT_MILLIS, () -> running.members().values().forEach(m -> m.host().kill()));
          running.after(
              REPORT_AT_MILLIS,
              () ->
                  running.members().keySet().stream()
                      .filter(member -> isReportedReachable(running, member))
                      .forEach(member -> reported.add("seed " + seed + ": " + member)));
        });
    return reported;
  }

  private static boolean isReportedReachable(World world, String member) {
    return world
        .leader()
        .flatMap(leader -> leader.node().controller().report(World.GROUP, member))
        .map(report -> report.reachable())
        .orElse(false);
  }

  @Test
  public void deadMemberIsNotReportedReachableByFormerGateways() {
    List<String> reported =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .boxed()
            .flatMap(seed -> deadMembersReportedReachable(seed).stream())
            .toList();
    assertEquals(reported, List.of());
  }
}
