package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Limits of tenants hold over all nodes together, and few operations are refused below the limits.
 */
public class QuotaWorldTest {
  private static final int NODES = 58;
  private static final int TENANTS = 72;
  private static final int FEW_NODES = 18;
  private static final int FEW_TENANTS = 14;
  private static final double SAMPLE = 10_000;

  private static QuotaStatistics run(
      QuotaScheme scheme, QuotaFaults faults, long firstSeed, long seeds, int nodes, int tenants) {
    return LongStream.range(firstSeed, firstSeed + seeds)
        .parallel()
        .mapToObj(seed -> new QuotaWorld(seed, scheme, nodes, tenants).run(faults))
        .collect(QuotaStatistics::new, QuotaStatistics::add, QuotaStatistics::add);
  }

  private static double refusedBelowLimit(QuotaStatistics figures) {
    return figures.refusedBelowLimit * SAMPLE / figures.offered;
  }

  private static double refusedBelowLimitOfGreedy(QuotaStatistics figures) {
    return figures.refusedBelowLimitOfGreedy * SAMPLE / figures.offered;
  }

  private static double admittedAfterLoss(QuotaStatistics figures) {
    return (double) figures.admittedAfterLoss / figures.offeredAfterLoss;
  }

  @Test
  public void noLimitIsExceededUnderFaults() {
    for (QuotaFaults faults : new QuotaFaults[] {QuotaFaults.MANY, QuotaFaults.POWER_TWICE}) {
      QuotaStatistics figures =
          run(QuotaScheme.PACED_REGION_HOMES, faults, 1, 12, FEW_NODES, FEW_TENANTS);
      assertEquals(figures.brokenWindows, 0, "highest use " + figures.highestUse);
      assertTrue(figures.highestUse > 0.8, "the greedy tenant reaches most of its limit");
    }
  }

  /** Runs at the size of a fleet, one seed at a time, without quota servers. */
  @Test
  public void noLimitIsExceededWithSharesForAllNodes() {
    for (long seed = 1; seed <= 12; seed++) {
      QuotaStatistics figures = run(QuotaScheme.SHARES, QuotaFaults.MANY, seed, 1, NODES, TENANTS);
      assertEquals(figures.brokenWindows, 0, "seed " + seed + ", use " + figures.highestUse);
      assertTrue(
          figures.highestUse > 0.8,
          "seed " + seed + ": the greedy tenant reaches most of its limit");
    }
  }

  @Test
  public void fewOperationsAreRefusedBelowALimitWithoutFaults() {
    long seeds = 2;
    QuotaStatistics quotaServers =
        run(QuotaScheme.PACED_REGION_HOMES, QuotaFaults.NONE, 1, seeds, NODES, TENANTS);
    double others = refusedBelowLimit(quotaServers) - refusedBelowLimitOfGreedy(quotaServers);
    assertTrue(others < 5, others + " of 10,000 refused below the limit");
    assertTrue(quotaServers.greedyUse / seeds > 0.9, "the greedy tenant can use its limit");
  }

  @Test
  public void fewOperationsAreRefusedBelowALimitWithSharesForAllNodes() {
    double shares =
        refusedBelowLimit(run(QuotaScheme.SHARES, QuotaFaults.NONE, 1, 4, NODES, TENANTS));
    double equal =
        refusedBelowLimit(run(QuotaScheme.EQUAL_PARTS, QuotaFaults.NONE, 1, 4, NODES, TENANTS));
    assertTrue(shares < 100, shares + " of 10,000 refused below the limit");
    assertTrue(shares < equal / 5, "equal parts refuse " + equal);
  }

  /** After a power loss of all machines, the shares of earlier incarnations are usable at once. */
  @Test
  public void afterAPowerLossTenantsAreServedWithTheirFormerShares() {
    QuotaStatistics quotaServers =
        run(QuotaScheme.PACED_REGION_HOMES, QuotaFaults.POWER, 1, 3, NODES, TENANTS);
    assertTrue(
        admittedAfterLoss(quotaServers) > 0.8, admittedAfterLoss(quotaServers) + " admitted");
  }

  /** While the leader is frozen, quota servers continue with their present shares. */
  @Test
  public void tenantsAreServedWithoutALeader() {
    QuotaStatistics quotaServers =
        run(QuotaScheme.PACED_REGION_HOMES, QuotaFaults.LEADER, 1, 3, NODES, TENANTS);
    assertTrue(
        admittedAfterLoss(quotaServers) > 0.8, admittedAfterLoss(quotaServers) + " admitted");
  }

  /**
   * Prints the statistics of limit enforcement under faults.
   *
   * @param arguments nodes, tenants, first seed, number of seeds, faults or ALL, schemes or ALL
   */
  public static void main(String[] arguments) {
    int nodes = Integer.parseInt(arguments[0]);
    int tenants = Integer.parseInt(arguments[1]);
    long first = Long.parseLong(arguments[2]);
    long seeds = Long.parseLong(arguments[3]);
    for (QuotaScheme scheme : QuotaScheme.values()) {
      for (QuotaFaults faults : QuotaFaults.values()) {
        boolean wanted = arguments[4].equals("ALL") || arguments[4].contains("/" + faults + "/");
        boolean wantedScheme =
            arguments[5].equals("ALL") || arguments[5].contains("/" + scheme + "/");
        if (wanted && wantedScheme) {
          print(
              scheme,
              faults,
              run(scheme, faults, first, seeds, nodes, tenants),
              nodes,
              seeds * nodes);
        }
      }
    }
  }

  private static void print(
      QuotaScheme scheme, QuotaFaults faults, QuotaStatistics figures, int nodes, long runs) {
    double seconds = QuotaWorld.LENGTH_MILLIS / 1_000.0 * runs;
    System.out.printf(
        "%-20s %-11s broken=%d refusedBelow=%.1f ofGreedy=%.1f highest=%.3f messages=%.2f"
            + " bytes=%.0f betweenRegions=%.0f waited=%.2f median=%.1f ninth=%.1f"
            + " greedyUse=%.3f afterLoss=%.3f log=%.2f records=%.4f%n",
        scheme,
        faults,
        figures.brokenWindows,
        refusedBelowLimit(figures),
        refusedBelowLimitOfGreedy(figures),
        figures.highestUse,
        figures.messages / seconds,
        figures.bytes / seconds,
        figures.bytesBetweenRegions / seconds,
        figures.waitedMicros / 1_000.0 / figures.offered,
        figures.waitOf(0.5),
        figures.waitOf(0.9),
        figures.greedyUse * nodes / runs,
        admittedAfterLoss(figures),
        figures.logBytes / seconds,
        figures.logRecords / seconds);
  }
}
