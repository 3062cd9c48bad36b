package org.streamcourse.request.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.backend.FakeMember;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.backend.PoolSettings;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.Broken;
import org.streamcourse.request.StreamMessage.NextUnit;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.Unit;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.GroupRules;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Streams through a gateway whose member has one slot. */
public class GatewayStreamTest {
  private static final String GROUP = "bookings";
  private static final String EDGE = "p2";

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final List<Object> toEdge = new ArrayList<>();
  private FakeMember member;
  private GatewayNode gateways;
  private NodeAgent agent;

  @BeforeMethod
  public void serve() {
    toEdge.clear();
    member = new FakeMember();
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    Placement placement = new Placement("r", "z");
    MemberImage image =
        new MemberImage(
            "m1", "127.0.0.1", 1, placement, 4, 1, false, List.of(new Allowance("p1", 4, 1)));
    GroupImage group = new GroupImage(GROUP, 1, "m1", List.of(image), GroupRules.DEFAULT);
    NodeImage self = new NodeImage("p1", 1, "127.0.0.1", 1, placement, false);
    PeerNetwork network = (peer, message) -> send(peer, message, group);
    agent =
        new NodeAgent(
            worker,
            network,
            new MemoryDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            List.of("c1"),
            self,
            0);
    gateways =
        new GatewayNode(
            () -> worker,
            worker,
            network,
            agent,
            (any, which) -> member.connect(),
            GatewaySettings.DEFAULT,
            new PoolSettings(0, 8, 1_000, 100, 30_000),
            ControlSettings.DEFAULT);
    gateways.start();
    agent.start();
    settle();
    // The first connection is the monitor's.
    MemberStatus status =
        new MemberStatus(
            1,
            MemberRole.PRIMARY,
            "",
            new TermPosition(1, 1),
            new TermPosition(1, 1),
            new TermPosition(1, 1));
    FakeMember.Session monitor = member.sessions().get(0);
    monitor.complete("LISTEN", Backend.STATUS_IDLE);
    monitor.answerRow(MemberStatements.fields(status));
    settle();
  }

  private void send(String peer, Object message, GroupImage group) {
    if (message instanceof NodeHeartbeat heartbeat) {
      ClusterImage image =
          new ClusterImage(1, 1, new TreeMap<>(Map.of(GROUP, group)), new TreeMap<>());
      agent.receive("c1", new HeartbeatReply(heartbeat.sequence(), null, image, false));
    } else if (peer.equals(EDGE)) {
      toEdge.add(message);
    }
  }

  private void settle() {
    clock.advanceTimeBy(Duration.ofMillis(50));
  }

  private static Unit unit(String sql) {
    return new Unit(Frontend.query(sql), true, true, false, "");
  }

  private void open(long id, String sql) {
    gateways.receive(
        EDGE,
        new OpenStream(
            id,
            GROUP,
            "m1",
            "desk",
            Purpose.WRITE,
            TermPosition.ZERO,
            1,
            5_000,
            List.of(),
            unit(sql)));
    settle();
  }

  private FakeMember.Session sessionWith(String sql) {
    return member.sessions().stream()
        .filter(each -> each.sent().contains(sql))
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void aTransactionLostWhileWaitingForASlotReturnsTheSlot() {
    open(1, "BEGIN");
    FakeMember.Session transaction = sessionWith("BEGIN");
    transaction.complete("BEGIN", Backend.STATUS_IN_TRANSACTION);
    settle();
    open(2, "UPDATE second");
    gateways.receive(EDGE, new NextUnit(1, unit("UPDATE first"), 5_000));
    settle();
    assertEquals(transaction.sent(), List.of("BEGIN"), "the only slot is in use");
    transaction.breakOff();
    settle();
    assertTrue(toEdge.stream().anyMatch(each -> each instanceof Broken b && b.streamId() == 1));
    sessionWith("UPDATE second").complete("UPDATE 1", Backend.STATUS_IDLE);
    settle();
    open(3, "UPDATE third");
    assertEquals(
        sessionWith("UPDATE third").sent().size(),
        2,
        "the third update runs on a pooled connection");
  }

  /**
   * The gateway may detect the end of a peer link later than the edge, after the edge has opened
   * its next stream on a newer link. Without a {@code Broken} message the edge would wait for a
   * stream that the gateway has abandoned.
   */
  @Test
  public void aStreamAbandonedAtTheEndOfALinkIsReportedToItsEdge() {
    open(1, "INSERT late word");
    gateways.linkLost(EDGE);
    settle();
    assertEquals(gateways.openStreams(), 0);
    assertTrue(
        toEdge.stream().anyMatch(each -> each instanceof Broken),
        "messages to the edge: " + toEdge);
  }
}
