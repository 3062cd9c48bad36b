package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.MemberOrderResult;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlMessage.OrderKind;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.GroupRules;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Supervision of a promoted or fenced member's reports when heartbeats are lost. */
public class GroupSupervisorTest {
  private static final String GROUP = "bookings";
  private static final Placement PLACEMENT = new Placement("r", "z");
  private static final long TERM = 4;
  private static final long CHOSEN_AT = 14_800;
  private static final long STEP_MILLIS = 50;
  private static final TermPosition FENCED_AT = new TermPosition(3, 212);
  private static final ControlSettings SETTINGS = ControlSettings.DEFAULT;

  private final GroupImage image =
      new GroupImage(
          GROUP,
          TERM,
          "m1",
          List.of(member("m1", "p1", "p4"), member("m2", "p2", "p5")),
          GroupRules.DEFAULT);

  private long now;
  private long sequence;
  private long orderIds;
  private List<MemberOrder> orders;
  private List<ClusterChange> proposed;
  private NodeRegistry registry;
  private GroupSupervisor supervisor;

  private final GroupSupervisor.Actions actions =
      new GroupSupervisor.Actions() {
        @Override
        public long now() {
          return now;
        }

        @Override
        public long nextOrderId() {
          orderIds++;
          return orderIds;
        }

        @Override
        public void sendOrder(String gateway, MemberOrder order) {
          orders.add(order);
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

  private static MemberImage member(String name, String... gateways) {
    List<Allowance> allowances = new ArrayList<>();
    for (String gateway : gateways) {
      allowances.add(new Allowance(gateway, 8, 2));
    }
    return new MemberImage(name, "127.0.0.1", 1, PLACEMENT, 16, 5, false, allowances);
  }

  private static MemberStatus status(long term, MemberRole role, String upstream) {
    return new MemberStatus(term, role, upstream, FENCED_AT, FENCED_AT, FENCED_AT);
  }

  private static final MemberStatus FENCED = status(TERM, MemberRole.FENCED, "");
  private static final MemberStatus PRIMARY = status(TERM, MemberRole.PRIMARY, "");
  private static final MemberStatus FOLLOWS = status(TERM, MemberRole.REPLICA, "m1");

  /** A member has just been chosen; both of its gateways have reported it as fenced. */
  @BeforeMethod
  public void createSupervisor() {
    now = CHOSEN_AT;
    sequence = 0;
    orderIds = 0;
    orders = new ArrayList<>();
    proposed = new ArrayList<>();
    registry = new NodeRegistry();
    supervisor = new GroupSupervisor(GROUP, SETTINGS, registry, actions);
    heartbeat("p1", "m1", FENCED);
    heartbeat("p4", "m1", FENCED);
    heartbeat("p2", "m2", FOLLOWS);
    heartbeat("p5", "m2", FOLLOWS);
  }

  private void heartbeat(String node, String member, MemberStatus status) {
    sequence++;
    registry.onHeartbeat(
        new NodeHeartbeat(
            new NodeImage(node, 1, "127.0.0.1", 1, PLACEMENT, false),
            sequence,
            1,
            1,
            false,
            0,
            true,
            List.of(new MemberReport(GROUP, member, true, status))),
        now,
        true);
  }

  private void checkUntil(long end) {
    while (now < end) {
      supervisor.check(image);
      now += STEP_MILLIS;
    }
  }

  private long count(String member, OrderKind kind) {
    return orders.stream()
        .filter(each -> each.member().equals(member) && each.kind() == kind)
        .count();
  }

  // Guards against: a gateway's older report took precedence over a newer one of another gateway,
  // so a primary that had taken over was promoted again and replaced (simulator, switchover seed
  // 63).
  @Test
  public void aPromotedMemberStaysPrimaryThoughTheHeartbeatsOfOneGatewayAreLost() {
    checkUntil(CHOSEN_AT + 200);
    heartbeat("p1", "m1", FENCED);
    checkUntil(CHOSEN_AT + 500);
    long before = count("m1", OrderKind.PROMOTE);
    heartbeat("p4", "m1", PRIMARY);
    checkUntil(CHOSEN_AT + 900);
    heartbeat("p4", "m1", PRIMARY);
    heartbeat("p2", "m2", FOLLOWS);
    checkUntil(CHOSEN_AT + 1_400);
    heartbeat("p4", "m1", PRIMARY);
    checkUntil(CHOSEN_AT + SETTINGS.promotionMillis() + 2 * STEP_MILLIS);
    assertEquals(proposed, List.of());
    assertEquals(count("m1", OrderKind.PROMOTE), before);
  }

  private void answerLast(MemberStatus status) {
    long last = orders.get(orders.size() - 1).orderId();
    supervisor.orderResult(image, new MemberOrderResult(last, true, status, ""));
  }

  // Guards against: the result of a promotion was ignored, so that with lost heartbeats the member
  // was promoted again each 250 ms and then replaced.
  @Test
  public void theResultOfAPromotionCountsAsAReport() {
    checkUntil(CHOSEN_AT + 100);
    heartbeat("p1", "m1", FENCED);
    checkUntil(CHOSEN_AT + 150);
    answerLast(PRIMARY);
    checkUntil(CHOSEN_AT + 1_000);
    heartbeat("p2", "m2", FOLLOWS);
    checkUntil(CHOSEN_AT + SETTINGS.promotionMillis() + 2 * STEP_MILLIS);
    assertEquals(proposed, List.of());
    assertEquals(count("m1", OrderKind.PROMOTE), 1);
  }

  // Guards against: the result of an order to follow was ignored, so that the order was sent again.
  @Test
  public void theResultOfAnOrderToFollowCountsAsAReport() {
    heartbeat("p2", "m2", FENCED);
    heartbeat("p5", "m2", FENCED);
    heartbeat("p4", "m1", PRIMARY);
    supervisor.check(image);
    answerLast(FOLLOWS);
    checkUntil(CHOSEN_AT + 1_000);
    assertEquals(count("m2", OrderKind.FOLLOW), 1);
  }

  // Guards against: a late result of an order replaces a newer report of the same gateway.
  @Test
  public void aResultOfAnOlderTermDoesNotReplaceANewerReport() {
    supervisor.check(image);
    heartbeat("p1", "m1", status(TERM + 1, MemberRole.FENCED, ""));
    heartbeat("p4", "m1", status(TERM + 1, MemberRole.FENCED, ""));
    answerLast(PRIMARY);
    supervisor.check(image);
    assertEquals(proposed, List.of(new ClusterChange.TermOpened(GROUP, TERM + 1)));
  }

  // Guards against: the status in a failed result counts as a report of the member, though it did
  // not answer.
  @Test
  public void aFailedResultDoesNotCountAsAReport() {
    supervisor.check(image);
    long last = orders.get(orders.size() - 1).orderId();
    supervisor.orderResult(image, new MemberOrderResult(last, false, PRIMARY, "no answer"));
    checkUntil(CHOSEN_AT + 300);
    assertEquals(count("m1", OrderKind.PROMOTE), 2);
  }

  private void answer(GroupImage group, String member, OrderKind kind, MemberStatus status) {
    for (MemberOrder order : List.copyOf(orders)) {
      if (order.member().equals(member) && order.kind() == kind) {
        supervisor.orderResult(group, new MemberOrderResult(order.orderId(), true, status, ""));
      }
    }
  }

  // Guards against: a primary fenced by a planned change counted as lost, so that the planned
  // change
  // became an unplanned one.
  @Test
  public void aPrimaryFencedByAPlannedChangeDoesNotCountAsLost() {
    List<MemberImage> members = new ArrayList<>(image.members());
    for (int number = 3; number <= 5; number++) {
      members.add(member("m" + number, "p2", "p5"));
    }
    GroupImage five = new GroupImage(GROUP, TERM, "m1", members, GroupRules.DEFAULT);
    supervisor.check(five);
    now += SETTINGS.promotionMillis() + 2 * STEP_MILLIS;
    heartbeat("p1", "m1", PRIMARY);
    heartbeat("p4", "m1", PRIMARY);
    heartbeat("p2", "m2", FOLLOWS);
    heartbeat("p5", "m3", FOLLOWS);
    assertEquals(supervisor.startSwitchover(five, "m2"), Optional.empty());
    supervisor.check(five);
    answer(five, "m1", OrderKind.HOLD_WRITES, PRIMARY);
    MemberStatus fencedAhead = status(TERM + 1, MemberRole.FENCED, "");
    answer(five, "m2", OrderKind.FENCE, fencedAhead);
    answer(five, "m1", OrderKind.FENCE, fencedAhead);
    heartbeat("p1", "m1", fencedAhead);
    supervisor.check(five);
    assertEquals(proposed, List.of());
    answer(five, "m3", OrderKind.FENCE, fencedAhead);
    supervisor.check(five);
    assertEquals(proposed, List.of(new ClusterChange.PrimaryHandedOver(GROUP, TERM + 1, "m2")));
  }
}
