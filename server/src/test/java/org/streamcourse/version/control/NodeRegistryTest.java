package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/** Evaluation of reports when heartbeats arrive out of order, and when nodes restart or return. */
public class NodeRegistryTest {
  private static final NodeImage NODE =
      new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false);

  private static NodeHeartbeat heartbeat(long sequence, boolean reachable) {
    MemberStatus status =
        new MemberStatus(
            1, MemberRole.REPLICA, "", TermPosition.ZERO, TermPosition.ZERO, TermPosition.ZERO);
    MemberReport report = new MemberReport("s", "m", reachable, status);
    return new NodeHeartbeat(NODE, sequence, 1, 0, false, 0, false, List.of(report));
  }

  private static int reachable(NodeRegistry registry, long now) {
    return registry.reachabilityOf("s", "m", now, 1_500, 750, node -> true).reachable();
  }

  @Test
  public void aReorderedHeartbeatChangesNoReport() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeat(46, false), 1_000, false);
    registry.onHeartbeat(heartbeat(45, true), 1_010, false);
    assertEquals(reachable(registry, 1_020), 0);
  }

  @Test
  public void aRestartedNodeBeginsANewSequence() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeat(46, false), 1_000, false);
    registry.onHeartbeat(heartbeat(1, true), 1_700, false);
    assertEquals(reachable(registry, 1_710), 1);
  }

  private static int unreachable(NodeRegistry registry, long now) {
    return registry.reachabilityOf("s", "m", now, 1_500, 750, node -> true).unreachable();
  }

  @Test
  public void anUnreachableReportOfANodeThatHasJustReturnedIsIgnored() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeat(1, true), 1_000, false);
    registry.onHeartbeat(heartbeat(2, false), 8_000, false);
    assertEquals(unreachable(registry, 8_010), 0);
    registry.onHeartbeat(heartbeat(3, false), 8_900, false);
    assertEquals(unreachable(registry, 9_010), 1);
  }

  @Test
  public void anUnreachableReportOfANodeThatWasRemovedMeanwhileIsIgnored() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeat(1, true), 1_000, false);
    registry.forget(NODE.name());
    registry.onHeartbeat(heartbeat(2, false), 8_000, false);
    assertEquals(unreachable(registry, 8_010), 0);
    assertEquals(registry.reachabilityOf("s", "m", 8_010, 1_500, 750, node -> true).observers(), 0);
  }

  @Test
  public void aNewLeaderCountsTheFirstReportOfAllNodes() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeat(1, true), 1_000, false);
    registry.clear();
    registry.onHeartbeat(heartbeat(2, false), 8_000, false);
    assertEquals(unreachable(registry, 8_010), 1);
  }

  private static NodeHeartbeat heartbeatOf(String name, long sequence, MemberRole role) {
    MemberStatus status =
        new MemberStatus(4, role, "", TermPosition.ZERO, TermPosition.ZERO, TermPosition.ZERO);
    NodeImage node = new NodeImage(name, 1, "n", 1, new Placement("r", "z"), false);
    MemberReport report = new MemberReport("g", "m", true, status);
    return new NodeHeartbeat(node, sequence, 1, 0, false, 0, false, List.of(report));
  }

  private static MemberRole roleOf(NodeRegistry registry, long now) {
    return registry
        .freshReport(List.of("p1", "p4"), "g", "m", now, 1_500)
        .orElseThrow()
        .status()
        .role();
  }

  // Guards against: of two gateways' reports on one term the one of the first gateway counted,
  // however old it was.
  @Test
  public void ofTwoReportsOnOneTermTheNewerCounts() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeatOf("p1", 1, MemberRole.FENCED), 1_000, false);
    registry.onHeartbeat(heartbeatOf("p4", 1, MemberRole.PRIMARY), 1_400, false);
    assertEquals(roleOf(registry, 1_500), MemberRole.PRIMARY);
    registry.onHeartbeat(heartbeatOf("p1", 2, MemberRole.FENCED), 1_600, false);
    assertEquals(roleOf(registry, 1_700), MemberRole.FENCED);
  }

  // Guards against: a reordered heartbeat makes the report of its node the newest.
  @Test
  public void aReorderedHeartbeatDoesNotMakeAReportNewer() {
    NodeRegistry registry = new NodeRegistry();
    registry.onHeartbeat(heartbeatOf("p1", 2, MemberRole.FENCED), 1_000, false);
    registry.onHeartbeat(heartbeatOf("p4", 1, MemberRole.PRIMARY), 1_100, false);
    registry.onHeartbeat(heartbeatOf("p1", 1, MemberRole.FENCED), 1_200, false);
    assertEquals(roleOf(registry, 1_300), MemberRole.PRIMARY);
  }
}
