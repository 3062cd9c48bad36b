package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.streamcourse.connection.backend.FakeMember;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.PositionReply;
import org.streamcourse.request.StreamMessage.PositionRequest;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.Unit;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
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

/** A proxy restarts while gateways of other nodes still have requests of its former run. */
public class ProxyRestartTest {
  private static final String SELF = "p1";
  private static final String GROUP = "bookings";
  private static final Placement PLACEMENT = new Placement("r", "z");
  private static final List<String> OTHER_MEMBERS = List.of("m2", "m3");

  private VirtualTimeScheduler clock;
  private List<PositionRequest> requests;
  private FakeMember member;
  private ProxyNode node;

  @BeforeMethod
  public void create() {
    clock = VirtualTimeScheduler.create();
    requests = new ArrayList<>();
  }

  private void start(long incarnation) {
    requests.clear();
    member = new FakeMember();
    NodeImage self = new NodeImage(SELF, incarnation, "127.0.0.1", 1, PLACEMENT, false);
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    node =
        new ProxyNode(
            self,
            () -> worker,
            worker,
            this::send,
            new MemoryDisk(),
            StreamTypes.codec(),
            List.of("c1"),
            (group, image) -> member.connect(),
            ProxyNode.Settings.DEFAULT,
            new FleetKey("test"),
            new Random(1));
    node.start();
    settle();
  }

  private void restart(long incarnation) {
    node.stop();
    settle();
    start(incarnation);
  }

  private void send(String peer, Object message) {
    if (message instanceof NodeHeartbeat heartbeat) {
      node.receive("c1", new HeartbeatReply(heartbeat.sequence(), null, image(), false));
    } else if (message instanceof PositionRequest request) {
      requests.add(request);
    }
  }

  private static ClusterImage image() {
    List<MemberImage> members =
        List.of(memberImage("m1", SELF), memberImage("m2", "p2"), memberImage("m3", "p3"));
    GroupImage group = new GroupImage(GROUP, 1, "m2", members, GroupRules.DEFAULT);
    return new ClusterImage(1, 1, new TreeMap<>(Map.of(GROUP, group)), new TreeMap<>());
  }

  private static MemberImage memberImage(String name, String gateway) {
    List<Allowance> allowances = List.of(new Allowance(gateway, 4, 1));
    return new MemberImage(name, "127.0.0.1", 1, PLACEMENT, 4, 1, false, allowances);
  }

  private void settle() {
    clock.advanceTimeBy(Duration.ofMillis(50));
  }

  private Set<Long> requestIds() {
    Set<Long> ids = new TreeSet<>();
    requests.forEach(request -> ids.add(request.requestId()));
    return ids;
  }

  private void replyToFloorRequest(long id, long position) {
    for (String name : OTHER_MEMBERS) {
      node.receive("p2", new PositionReply(id, name, true, status(MemberRole.REPLICA, position)));
    }
    settle();
  }

  private static MemberStatus status(MemberRole role, long position) {
    TermPosition at = new TermPosition(1, position);
    return new MemberStatus(1, role, "", at, at, at);
  }

  /** Guards against a session's floor below writes that were acknowledged before it began. */
  @Test
  public void positionsForTheFormerRunGiveNoFloor() {
    start(1);
    node.edge().readFloor(GROUP, floor -> {});
    settle();
    long former = requests.get(0).requestId();
    restart(2);
    List<TermPosition> floors = new ArrayList<>();
    node.edge().readFloor(GROUP, floors::add);
    settle();
    replyToFloorRequest(former, 7);
    assertEquals(floors, List.of(), "a floor from positions before the restart");
    replyToFloorRequest(requests.get(0).requestId(), 9);
    assertEquals(floors, List.of(new TermPosition(1, 9)));
  }

  /**
   * Guards against a replica that counts as fresh by a position of the primary before a restart.
   */
  @Test
  public void aGatewayRequestsPositionsUnderOtherNumbersAfterARestart() {
    start(1);
    openRead();
    Set<Long> former = requestIds();
    restart(2);
    openRead();
    Set<Long> present = requestIds();
    assertTrue(former.size() == 1 && present.size() == 1, former + " and " + present);
    present.retainAll(former);
    assertEquals(present, Set.of(), "numbers of both runs");
  }

  private void openRead() {
    FakeMember.Session monitor = member.sessions().get(0);
    monitor.complete("LISTEN", Backend.STATUS_IDLE);
    monitor.answerRow(MemberStatements.fields(status(MemberRole.REPLICA, 7)));
    settle();
    node.receive(
        "p2",
        new OpenStream(
            1,
            GROUP,
            "m1",
            "desk",
            Purpose.READ,
            TermPosition.ZERO,
            1_000,
            5_000,
            List.of(),
            new Unit(Frontend.query("SELECT 1"), true, true, false, "")));
    settle();
  }
}
