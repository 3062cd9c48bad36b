package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.peer.PeerDistance;
import org.streamcourse.version.control.NodeAgent;
import org.testng.annotations.Test;

/**
 * Limits the traffic of a large fleet's control plane between regions: 86 nodes and 6 controllers
 * in 3 regions, 20 ms apart, with 18 members. Guards against two former faults: log entries resent
 * before a reply could arrive (3.7 of 5.5 MB at the start; 44 MB in all with 300 nodes), and
 * heartbeats that repeat names and addresses (two thirds of 51 KB per second when idle).
 */
public class ControlTrafficTest {
  private static final int NODES = 86;
  private static final int MANY_NODES = 300;
  private static final long START_MILLIS = 3_000;
  private static final long STEADY_MILLIS = 10_000;

  /** Limit for the start in bytes: a fifth of the former 5.5 MB. The start takes 0.27 MB. */
  private static final long MAX_START_BYTES = 1_100_000;

  /** Limit per second in bytes: a third of the former 51 KB. A stable fleet sends 8.1 KB. */
  private static final long MAX_BYTES_PER_SECOND = 17_000;

  private static ControlFleet started(int nodes) {
    ControlFleet fleet = new ControlFleet(nodes);
    fleet.start();
    fleet.advance(START_MILLIS);
    return fleet;
  }

  private static long perSecond(ControlFleet fleet) {
    long before = fleet.bytes(PeerDistance.OTHER_REGION);
    fleet.advance(STEADY_MILLIS);
    return (fleet.bytes(PeerDistance.OTHER_REGION) - before) * 1_000 / STEADY_MILLIS;
  }

  private static void assertAllServe(ControlFleet fleet) {
    for (NodeAgent node : fleet.nodes().values()) {
      assertTrue(node.isConfirmed(), node.self().name());
      assertEquals(node.image().document().version(), 1, node.self().name());
      assertEquals(node.image().nodes().size(), fleet.nodes().size(), node.self().name());
    }
  }

  @Test
  public void trafficAtTheStartStaysBelowItsLimit() {
    ControlFleet fleet = started(NODES);
    assertAllServe(fleet);
    long bytes = fleet.bytes(PeerDistance.OTHER_REGION);
    assertTrue(bytes < MAX_START_BYTES, bytes + " bytes: " + fleet.betweenRegions());
  }

  @Test
  public void steadyTrafficStaysBelowItsLimit() {
    ControlFleet fleet = started(NODES);
    Map<String, Long> before = new TreeMap<>(fleet.betweenRegions());
    long bytes = perSecond(fleet);
    assertAllServe(fleet);
    assertTrue(bytes < MAX_BYTES_PER_SECOND, bytes + " bytes: " + before + fleet.betweenRegions());
  }

  /**
   * Bytes per node must not grow with the fleet: 3.5 times the nodes, at most 4 times the bytes.
   */
  @Test
  public void steadyTrafficGrowsNoFasterThanTheFleet() {
    long few = perSecond(started(NODES));
    long many = perSecond(started(MANY_NODES));
    assertTrue(many < 4 * few, few + " bytes a second, with more nodes " + many);
  }
}
