package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.PromotionAgent.Order;
import org.streamcourse.version.control.ServiceCall.MemberHeartbeat;
import org.streamcourse.version.control.ServiceCall.MemberLeaves;
import org.streamcourse.version.control.ServiceCall.ReplaceDocument;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.ServiceRules;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Changes of primary of a service that acknowledges a commit once a replica has received it. */
public class SynchronousReplicasTest {
  private static final String SERVICE = "s";

  /** Time after which a leader has received a heartbeat of every running member. */
  private static final long SETTLED_MILLIS = 2_000;

  private final List<ClusterChange> proposed = new ArrayList<>();
  private final List<Order> orders = new ArrayList<>();
  private final Map<MemberId, TermPosition> ends = new HashMap<>();
  private final List<MemberId> resumed = new ArrayList<>();
  private final List<MemberId> steppedDown = new ArrayList<>();
  private long now;
  private ClusterImage image;
  private NodeRegistry registry;
  private ServiceSupervisor supervisor;

  private final GroupSupervisor.Actions actions =
      new GroupSupervisor.Actions() {
        @Override
        public long now() {
          return now;
        }

        @Override
        public long nextOrderId() {
          return 1;
        }

        @Override
        public void sendOrder(String gateway, MemberOrder order) {
          throw new AssertionError("no order goes to a gateway");
        }

        @Override
        public void propose(ClusterChange change) {
          proposed.add(change);
        }

        @Override
        public void decided(
            Decision.Kind kind, String subject, String cause, String inputs, String outcome) {
          // Not checked.
        }
      };

  private final MemberProbe probe =
      new MemberProbe() {
        @Override
        public void pause(
            String service,
            RegisteredMember member,
            long term,
            Consumer<Optional<TermPosition>> received) {
          received.accept(Optional.ofNullable(ends.get(member.id())));
        }

        @Override
        public void stepDown(String service, RegisteredMember member, long term, Runnable done) {
          steppedDown.add(member.id());
          done.run();
        }

        @Override
        public void resume(String service, RegisteredMember member) {
          resumed.add(member.id());
        }
      };

  @BeforeMethod
  public void create() {
    proposed.clear();
    orders.clear();
    ends.clear();
    resumed.clear();
    steppedDown.clear();
    now = 10_000;
    image = ClusterImage.EMPTY;
    registry = new NodeRegistry();
    supervisor =
        new ServiceSupervisor(
            actions,
            registry,
            ControlSettings.DEFAULT,
            (order, outcome) -> orders.add(order),
            probe,
            Runnable::run);
    supervisor.restart();
    supervisor.replaceDocument(image, new ReplaceDocument(document()), any -> {});
    heartbeat("i-1", false, true, 1);
    heartbeat("i-2", false, false, 1);
    heartbeat("i-3", false, false, 1);
    agree();
    assertEquals(service().primary(), new MemberId("i-1"));
    now += SETTLED_MILLIS;
  }

  private static RoutingDocument document() {
    return new RoutingDocument(
        1,
        List.of(),
        List.of(new ServiceRules(SERVICE, 40, 1)),
        SessionLimits.DEFAULT,
        List.of(),
        "");
  }

  private ServiceImage service() {
    return image.service(SERVICE);
  }

  private void agree() {
    List<ClusterChange> changes = List.copyOf(proposed);
    proposed.clear();
    for (ClusterChange change : changes) {
      image = image.apply(change);
      supervisor.applied(change, image);
    }
  }

  private void heartbeat(String id, boolean draining, boolean primary, long sequence) {
    int port = Integer.parseInt(id.substring(2));
    RegisteredMember member =
        new RegisteredMember(new MemberId(id), "10.0.0.1", port, "z", 3, draining);
    supervisor.memberHeartbeat(
        image, new MemberHeartbeat(SERVICE, member, primary, sequence), any -> {});
  }

  private void reportUnreachable(String... ids) {
    NodeImage self = new NodeImage("p1", 1, "h", 1, new Placement("r", "z"), false);
    List<MemberReport> reports = new ArrayList<>();
    for (String id : ids) {
      reports.add(new MemberReport(SERVICE, new MemberId(id).value(), false, MemberStatus.UNKNOWN));
    }
    registry.onHeartbeat(new NodeHeartbeat(self, 1, 1, 1, false, 0, true, reports), now, true);
  }

  private void setLogEnd(String id, long position) {
    ends.put(new MemberId(id), new TermPosition(1, position));
  }

  private List<String> ordered() {
    supervisor.check(image);
    agree();
    return orders.stream().map(order -> order.target().value()).toList();
  }

  @Test
  public void theReplicaWithTheLatestLogIsPromoted() {
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of("i-3"));
  }

  @Test
  public void anOrderWithAnUnreachableTargetIsNotSentAgainBeforeItsTimeout() {
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportUnreachable("i-1", "i-3");
    assertEquals(ordered(), List.of("i-3"));
    now += 50;
    reportUnreachable("i-1", "i-3");
    assertEquals(ordered(), List.of("i-3"));
    now += 1_100;
    reportUnreachable("i-1", "i-3");
    assertEquals(ordered(), List.of("i-3", "i-3"));
  }

  @Test
  public void aNewLeaderChoosesOnlyOnceEveryMemberHasSentAHeartbeat() {
    supervisor.restart();
    heartbeat("i-2", false, false, 2);
    heartbeat("i-3", false, false, 2);
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of());
    now += 1_200;
    heartbeat("i-4", false, false, 1);
    agree();
    setLogEnd("i-4", 15);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of());
    now += 400;
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of("i-4"));
  }

  @Test
  public void aDeregisteredMemberIsNotWaitedFor() {
    setLogEnd("i-3", 12);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of());
    supervisor.memberLeaves(image, new MemberLeaves(new MemberId("i-3")), any -> {});
    agree();
    setLogEnd("i-2", 10);
    now += 400;
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of("i-2"));
  }

  @Test
  public void aDrainingMemberIsNotPromotedWhileOthersCanCatchUp() {
    heartbeat("i-1", true, true, 2);
    heartbeat("i-3", true, false, 2);
    agree();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    assertEquals(ordered(), List.of());
    supervisor.check(image);
    assertEquals(steppedDown, List.of());
    assertEquals(resumed, List.of(new MemberId("i-2"), new MemberId("i-3")));
    setLogEnd("i-2", 12);
    now += 600;
    supervisor.check(image);
    supervisor.check(image);
    assertEquals(steppedDown, List.of(new MemberId("i-1")));
    now += 400;
    assertEquals(ordered(), List.of("i-2"));
  }

  @Test
  public void replicasPausedByAPreviousLeaderAreResumedOnce() {
    supervisor.restart();
    supervisor.check(image);
    supervisor.check(image);
    assertEquals(resumed, List.of(new MemberId("i-2"), new MemberId("i-3")));
  }
}
