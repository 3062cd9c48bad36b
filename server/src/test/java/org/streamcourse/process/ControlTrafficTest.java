package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.peer.PeerDistance;
import org.streamcourse.version.control.NodeAgent;
import org.testng.annotations.Test;

/**
 * What the control plane of a large fleet sends between regions: 86 nodes and 6 controllers in 3
 * regions, 20 ms apart, before 18 members. While it started, 5.5 MB went between regions, of them
 * 3.7 MB of agreed entries that were sent again before they could be answered; at 300 nodes 44 MB.
 * Then it was 51 KB a second, two thirds of them heartbeats that repeat names and addresses.
 */
public class ControlTrafficTest {
  private static final int NODES = 86;
  private static final int MANY_NODES = 300;
  private static final long START_MILLIS = 3_000;
  private static final long CALM_MILLIS = 10_000;

  /** A fifth of what the start took before; 0.27 MB when this was written. */
  private static final long MOST_AT_START = 1_100_000;

  /** A third of what a calm second took before; 8.1 KB when this was written. */
  private static final long MOST_A_SECOND = 17_000;

  private static ControlFleet started(int nodes) {
    ControlFleet fleet = new ControlFleet(nodes);
    fleet.start();
    fleet.advance(START_MILLIS);
    return fleet;
  }

  private static long perSecond(ControlFleet fleet) {
    long before = fleet.bytes(PeerDistance.OTHER_REGION);
    fleet.advance(CALM_MILLIS);
    return (fleet.bytes(PeerDistance.OTHER_REGION) - before) * 1_000 / CALM_MILLIS;
  }

  private static void assertAllServe(ControlFleet fleet) {
    for (NodeAgent node : fleet.nodes().values()) {
      assertTrue(node.isConfirmed(), node.self().name());
      assertEquals(node.image().document().version(), 1, node.self().name());
      assertEquals(node.image().nodes().size(), fleet.nodes().size(), node.self().name());
    }
  }

  @Test
  public void aStartTakesAFifthOfWhatItTook() {
    ControlFleet fleet = started(NODES);
    assertAllServe(fleet);
    long bytes = fleet.bytes(PeerDistance.OTHER_REGION);
    assertTrue(bytes < MOST_AT_START, bytes + " bytes: " + fleet.betweenRegions());
  }

  @Test
  public void aCalmSecondTakesAThirdOfWhatItTook() {
    ControlFleet fleet = started(NODES);
    Map<String, Long> before = new TreeMap<>(fleet.betweenRegions());
    long bytes = perSecond(fleet);
    assertAllServe(fleet);
    assertTrue(bytes < MOST_A_SECOND, bytes + " bytes: " + before + fleet.betweenRegions());
  }

  /** Bytes a node must not grow with the fleet: 3.5 times the nodes, at most 4 times the bytes. */
  @Test
  public void calmSecondsGrowNoFasterThanTheFleet() {
    long few = perSecond(started(NODES));
    long many = perSecond(started(MANY_NODES));
    assertTrue(many < 4 * few, few + " bytes a second, with more nodes " + many);
  }
}
