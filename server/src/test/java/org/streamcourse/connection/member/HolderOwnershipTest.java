package org.streamcourse.connection.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Who should hold a member's connections and share out its slots, at two thirds, all and one and a
 * half times of what its slots can do in the middle third of the time.
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

  private static HolderWorld.Figures figures(HolderWorld.Way way, double load, long seed) {
    HolderWorld.Figures figures = new HolderWorld(way, load, seed).run();
    LOG.info("{} at {} units/s, seed {}: {}", way, load, seed, figures);
    return figures;
  }

  @Test(dataProvider = "loads")
  public void theOwnerOfSlotsIsRejectedSeldomAndServesMore(double load, long seed) {
    HolderWorld.Figures four = figures(HolderWorld.Way.FOUR_HOLDERS, load, seed);
    HolderWorld.Figures owner = figures(HolderWorld.Way.OWNER, load, seed);
    assertTrue(four.rejectedShare() > 0.02, "the load is one that members reject: " + four);
    assertTrue(owner.rejectedShare() < 0.02, owner.toString());
    assertTrue(owner.served() >= 0.98 * owner.units, owner.toString());
    assertTrue(owner.served() > four.served(), owner + " before " + four);
  }

  @Test
  public void noOtherWayServesMoreOfAnOverload() {
    long owners = figures(HolderWorld.Way.OWNER, OVERLOADED, 1).served();
    for (HolderWorld.Way way : HolderWorld.Way.values()) {
      HolderWorld.Figures other = figures(way, OVERLOADED, 1);
      assertTrue(other.served() <= owners, way + ": " + other);
    }
  }

  @Test
  public void noWayExceedsTheMembersConnections() {
    for (HolderWorld.Way way : HolderWorld.Way.values()) {
      HolderWorld.Figures figures = figures(way, CROWDED, 1);
      assertTrue(figures.mostConnections < HolderWorld.CONNECTIONS, way + ": " + figures);
    }
  }

  @Test
  public void theSameSeedGivesTheSameWork() {
    long units = figures(HolderWorld.Way.FOUR_HOLDERS, LIGHT, 1).units;
    assertEquals(figures(HolderWorld.Way.OWNER, LIGHT, 1).units, units);
  }
}
