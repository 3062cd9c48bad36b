package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/** What the leader believes of nodes whose heartbeats change their order, or that start again. */
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
    return registry.opinionOf("s", "m", now, 1_500, 750, node -> true).reachable();
  }

  @Test
  public void aHeartbeatThatWasOvertakenTellsNothing() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeat(46, false), 1_000, false);
    registry.heard(heartbeat(45, true), 1_010, false);
    assertEquals(reachable(registry, 1_020), 0);
  }

  @Test
  public void aNodeThatHasStartedAgainCountsAnew() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeat(46, false), 1_000, false);
    registry.heard(heartbeat(1, true), 1_700, false);
    assertEquals(reachable(registry, 1_710), 1);
  }

  private static int unreachable(NodeRegistry registry, long now) {
    return registry.opinionOf("s", "m", now, 1_500, 750, node -> true).unreachable();
  }

  @Test
  public void theWordOfANodeThatHasJustComeBackDoesNotCountAgainstAMember() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeat(1, true), 1_000, false);
    registry.heard(heartbeat(2, false), 8_000, false);
    assertEquals(unreachable(registry, 8_010), 0);
    registry.heard(heartbeat(3, false), 8_900, false);
    assertEquals(unreachable(registry, 9_010), 1);
  }

  @Test
  public void theWordOfANodeThatWasRemovedMeanwhileDoesNotCountEither() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeat(1, true), 1_000, false);
    registry.forget(NODE.name());
    registry.heard(heartbeat(2, false), 8_000, false);
    assertEquals(unreachable(registry, 8_010), 0);
    assertEquals(registry.opinionOf("s", "m", 8_010, 1_500, 750, node -> true).heardNodes(), 0);
  }

  @Test
  public void aNewLeaderBelievesTheFirstWordOfAllNodes() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeat(1, true), 1_000, false);
    registry.clear();
    registry.heard(heartbeat(2, false), 8_000, false);
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

  // Guards against: of two gateways' words on one term that of the first in order counted, however
  // old it was.
  @Test
  public void ofTwoWordsOnOneTermTheNewerCounts() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeatOf("p1", 1, MemberRole.FENCED), 1_000, false);
    registry.heard(heartbeatOf("p4", 1, MemberRole.PRIMARY), 1_400, false);
    assertEquals(roleOf(registry, 1_500), MemberRole.PRIMARY);
    registry.heard(heartbeatOf("p1", 2, MemberRole.FENCED), 1_600, false);
    assertEquals(roleOf(registry, 1_700), MemberRole.FENCED);
  }

  // Guards against: a heartbeat that was overtaken makes the word of its node the newest.
  @Test
  public void anOvertakenHeartbeatDoesNotMakeAWordNewer() {
    NodeRegistry registry = new NodeRegistry();
    registry.heard(heartbeatOf("p1", 2, MemberRole.FENCED), 1_000, false);
    registry.heard(heartbeatOf("p4", 1, MemberRole.PRIMARY), 1_100, false);
    registry.heard(heartbeatOf("p1", 1, MemberRole.FENCED), 1_200, false);
    assertEquals(roleOf(registry, 1_300), MemberRole.PRIMARY);
  }
}
