package org.streamcourse.connection.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares ways to distribute a member's connections and slots over holders, at two thirds, all and
 * one and a half times of the load that the member's slots can serve in the middle third of the
 * time. Guards against a change after which the single owner is no longer the best choice: without
 * one, holders exceed the slots together and the member rejects statements.
 */
public class HolderOwnershipTest {
  private static final Logger LOG = LoggerFactory.getLogger(HolderOwnershipTest.class);

  private static final double LIGHT = 60;
  private static final double CROWDED = 120;
  private static final double OVERLOADED = 180;

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {{LIGHT, 1L}, {LIGHT, 2L}, {CROWDED, 1L}, {CROWDED, 2L}};
  }

  private static HolderWorld.Figures figures(
      HolderWorld.Strategy strategy, double load, long seed) {
    HolderWorld.Figures figures = new HolderWorld(strategy, load, seed).run();
    LOG.info("{} at {} units/s, seed {}: {}", strategy, load, seed, figures);
    return figures;
  }

  @Test(dataProvider = "loads")
  public void anOwnerOfSlotsIsRarelyRejectedAndServesMore(double load, long seed) {
    HolderWorld.Figures four = figures(HolderWorld.Strategy.FOUR_HOLDERS, load, seed);
    HolderWorld.Figures owner = figures(HolderWorld.Strategy.OWNER, load, seed);
    assertTrue(
        four.rejectedShare() > 0.02,
        "without an owner the member rejects part of this load: " + four);
    assertTrue(owner.rejectedShare() < 0.02, owner.toString());
    assertTrue(owner.served() >= 0.98 * owner.units, owner.toString());
    assertTrue(owner.served() > four.served(), owner + " compared with " + four);
  }

  @Test
  public void noOtherStrategyServesMoreOfAnOverload() {
    long owners = figures(HolderWorld.Strategy.OWNER, OVERLOADED, 1).served();
    for (HolderWorld.Strategy strategy : HolderWorld.Strategy.values()) {
      HolderWorld.Figures other = figures(strategy, OVERLOADED, 1);
      assertTrue(other.served() <= owners, strategy + ": " + other);
    }
  }

  @Test
  public void noStrategyExceedsTheMembersConnections() {
    for (HolderWorld.Strategy strategy : HolderWorld.Strategy.values()) {
      HolderWorld.Figures figures = figures(strategy, CROWDED, 1);
      assertTrue(figures.mostConnections < HolderWorld.CONNECTIONS, strategy + ": " + figures);
    }
  }

  @Test
  public void theSameSeedGivesTheSameWork() {
    long units = figures(HolderWorld.Strategy.FOUR_HOLDERS, LIGHT, 1).units;
    assertEquals(figures(HolderWorld.Strategy.OWNER, LIGHT, 1).units, units);
  }
}
