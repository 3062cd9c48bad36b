package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
  private long now;
  private ClusterImage image;
  private ScriptedReplicas members;
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

  @BeforeMethod
  public void create() {
    proposed.clear();
    orders.clear();
    members = new ScriptedReplicas();
    members.primaries.add(new MemberId("i-1"));
    setLogEnd("i-1", 14);
    now = 10_000;
    image = ClusterImage.EMPTY;
    registry = new NodeRegistry();
    supervisor =
        new ServiceSupervisor(
            actions,
            registry,
            ControlSettings.DEFAULT,
            (order, outcome) -> orders.add(order),
            members,
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
    members.ends.put(new MemberId(id), new TermPosition(1, position));
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

  private void reportPosition(String id, long position) {
    NodeImage self = new NodeImage("p1", 1, "h", 1, new Placement("r", "z"), false);
    TermPosition end = new TermPosition(1, position);
    MemberStatus status = new MemberStatus(1, MemberRole.REPLICA, "", end, end, end);
    MemberReport report = new MemberReport(SERVICE, new MemberId(id).value(), true, status);
    registry.onHeartbeat(
        new NodeHeartbeat(self, 1, 1, 1, false, 0, false, List.of(report)), now, true);
  }

  private void drainPrimary() {
    heartbeat("i-1", true, true, 2);
    agree();
  }

  private List<String> orderedAfter(long millis) {
    List<String> latest = List.of();
    for (long waited = 0; waited < millis; waited += 100) {
      now += 100;
      latest = ordered();
    }
    return latest;
  }

  /**
   * Guards against two needless changes: a draining replica is ahead of the remaining one by
   * commits that the latter is about to receive, and is promoted only to be replaced at once.
   */
  @Test
  public void aDrainingMemberIsNotPromotedWhileOthersCanCatchUp() {
    heartbeat("i-3", true, false, 2);
    drainPrimary();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportPosition("i-2", 10);
    assertEquals(ordered(), List.of());
    assertEquals(members.paused, Set.of(new MemberId("i-3")));
    assertEquals(orderedAfter(300), List.of());
    assertEquals(members.steppedDown, List.of());
    setLogEnd("i-2", 12);
    reportPosition("i-2", 12);
    assertEquals(orderedAfter(800), List.of("i-2"));
    assertEquals(members.steppedDown, List.of(new MemberId("i-1")));
  }

  /**
   * Guards against a primary that keeps all its slots: while its draining replica is paused and the
   * other one receives nothing, no write is answered and the step-down gets no slot.
   */
  @Test
  public void aDrainingMemberIsResumedWhileOthersReceiveNothing() {
    heartbeat("i-3", true, false, 2);
    drainPrimary();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportPosition("i-2", 10);
    assertEquals(orderedAfter(500), List.of());
    assertEquals(members.resumed, List.of());
    ordered();
    assertEquals(orderedAfter(200), List.of());
    assertEquals(members.resumed, List.of(new MemberId("i-3")));
    assertEquals(orderedAfter(1_000), List.of("i-3"));
  }

  /**
   * Guards against lost commits: a step-down that got no answer was taken as done, and the primary
   * went on acknowledging what a replica that had started meanwhile received.
   */
  @Test
  public void noMemberIsChosenBeforeTheDrainingPrimaryHasReportedItsStepDown() {
    members.withoutSlot.add(new MemberId("i-1"));
    drainPrimary();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    assertEquals(orderedAfter(3_000), List.of());
    assertEquals(
        members.paused, Set.of(), "replicas receive, so that writes give back their slots");
    members.withoutSlot.clear();
    assertEquals(orderedAfter(1_000), List.of("i-3"));
    assertEquals(members.primaries, Set.of());
  }

  /** Guards against a change that never ends: a primary that knows a newer term than any log. */
  @Test
  public void theStepDownIsRepeatedWithATermAboveThatOfThePrimary() {
    members.terms.put(new MemberId("i-1"), 7L);
    drainPrimary();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    assertEquals(orderedAfter(1_000), List.of("i-3"));
  }

  /**
   * Guards against a service without a primary: replicas ignore a pause whose term is not above
   * theirs, and no log has a record of the newest term while nothing is written.
   */
  @Test
  public void thePauseIsRepeatedWithATermAboveThatOfTheReplicas() {
    members.terms.put(new MemberId("i-2"), 7L);
    members.terms.put(new MemberId("i-3"), 7L);
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportUnreachable("i-1");
    List<String> latest = List.of();
    for (int i = 0; i < 10; i++) {
      now += 100;
      reportUnreachable("i-1");
      latest = ordered();
    }
    assertEquals(latest, List.of("i-3"));
  }

  /**
   * Guards against a change that waits for an unreachable primary: it has announced that it drains,
   * and crashed before it could step down.
   */
  @Test
  public void aDrainingPrimaryThatIsUnreachableIsNotAwaited() {
    members.withoutSlot.add(new MemberId("i-1"));
    drainPrimary();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of("i-3"));
    assertEquals(members.steppedDown, List.of());
  }

  /**
   * Guards against a service without a primary: the draining primary has ended, no controller was
   * reachable when it left, and no node reports it as unreachable.
   */
  @Test
  public void aDrainingPrimaryWithoutHeartbeatsIsNotAwaitedForever() {
    members.withoutSlot.add(new MemberId("i-1"));
    drainPrimary();
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    assertEquals(orderedAfter(14_000), List.of());
    heartbeat("i-2", false, false, 2);
    heartbeat("i-3", false, false, 2);
    assertEquals(orderedAfter(1_500).get(0), "i-3");
  }

  /**
   * Guards against lost commits, and against a step-down that gets no slot: the replicas were
   * paused while the primary was unreachable, and it can be reached again when it drains.
   */
  @Test
  public void aPrimaryThatIsReachableAgainAndDrainsStepsDownBeforeTheChoice() {
    members.withoutSlot.add(new MemberId("i-1"));
    setLogEnd("i-2", 10);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of());
    assertEquals(members.paused, Set.of(new MemberId("i-2")));
    reportPosition("i-1", 14);
    drainPrimary();
    setLogEnd("i-3", 12);
    assertEquals(orderedAfter(1_000), List.of());
    assertEquals(members.paused, Set.of(), "writes give back their slots");
    members.withoutSlot.clear();
    assertEquals(orderedAfter(1_000), List.of("i-3"));
  }

  private void orderSuccessorOfCrashedPrimary() {
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    reportUnreachable("i-1");
    assertEquals(ordered(), List.of("i-3"));
  }

  /** Registers the next incarnation of i-1, which has its log and its role. */
  private void restartPrimary() {
    members.primaries.remove(new MemberId("i-1"));
    members.primaries.add(new MemberId("i-4"));
    setLogEnd("i-4", 14);
    RegisteredMember next = new RegisteredMember(new MemberId("i-4"), "10.0.0.1", 1, "z", 3, false);
    supervisor.memberHeartbeat(image, new MemberHeartbeat(SERVICE, next, true, 1), any -> {});
    agree();
    supervisor.memberHeartbeat(image, new MemberHeartbeat(SERVICE, next, true, 2), any -> {});
    agree();
  }

  /**
   * Guards against lost commits: a crashed primary that was back before its ordered successor led
   * ended the change, the replicas were resumed, and it acknowledged commits that the successor
   * lacks.
   */
  @Test
  public void aReturnedPrimaryDoesNotEndTheFenceOfAnOrder() {
    orderSuccessorOfCrashedPrimary();
    restartPrimary();
    orderedAfter(700);
    assertEquals(members.resumed, List.of());
    assertEquals(service().promotion(), new MemberId("i-3"));
    assertEquals(members.primaries, Set.of(), "the returned primary has stepped down");
    members.primaries.add(new MemberId("i-3"));
    heartbeat("i-3", false, true, 2);
    agree();
    assertEquals(service().primary(), new MemberId("i-3"));
  }

  /** Guards against the same loss with a primary that was cut off and has not restarted. */
  @Test
  public void aPrimaryThatIsReachableAgainDoesNotEndTheFenceOfAnOrder() {
    orderSuccessorOfCrashedPrimary();
    reportPosition("i-1", 14);
    orderedAfter(800);
    assertEquals(members.resumed, List.of());
    assertEquals(service().promotion(), new MemberId("i-3"));
    assertEquals(members.primaries, Set.of());
  }

  /** Guards against the same loss under a leader that finds the order in the image. */
  @Test
  public void aNewLeaderKeepsTheFenceOfAnOrder() {
    orderSuccessorOfCrashedPrimary();
    supervisor.restart();
    restartPrimary();
    assertEquals(orderedAfter(1_700).subList(0, 2), List.of("i-3", "i-3"));
    assertEquals(members.resumed, List.of());
  }

  /** Guards against lost commits: a replica that starts after the order acknowledges commits. */
  @Test
  public void aReplicaThatStartsWhileAnOrderIsOpenIsPaused() {
    orderSuccessorOfCrashedPrimary();
    heartbeat("i-5", false, false, 1);
    agree();
    setLogEnd("i-5", 12);
    orderedAfter(200);
    assertEquals(
        members.paused, Set.of(new MemberId("i-2"), new MemberId("i-3"), new MemberId("i-5")));
  }

  /**
   * Guards against a service without a primary: the only primary has stepped down, and the member
   * that was ordered to follow it has ended.
   */
  @Test
  public void aPrimaryThatHasSteppedDownIsReplacedWhenTheTargetOfItsOrderIsGone() {
    orderSuccessorOfCrashedPrimary();
    reportPosition("i-1", 14);
    orderedAfter(800);
    heartbeat("i-1", false, false, 2);
    supervisor.memberLeaves(image, new MemberLeaves(new MemberId("i-3")), any -> {});
    agree();
    reportPosition("i-1", 14);
    List<String> latest = orderedAfter(1_000);
    assertEquals(latest.get(latest.size() - 1), "i-1", "its log has every acknowledged commit");
    heartbeat("i-1", false, true, 3);
    agree();
    assertEquals(service().primary(), new MemberId("i-1"));
    assertEquals(service().promotion(), MemberId.NONE);
  }

  @Test
  public void replicasPausedByAPreviousLeaderAreResumedOnce() {
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    members.paused.add(new MemberId("i-2"));
    members.paused.add(new MemberId("i-3"));
    supervisor.restart();
    supervisor.check(image);
    supervisor.check(image);
    assertEquals(members.resumed, List.of(new MemberId("i-2"), new MemberId("i-3")));
  }

  /** Guards against a replica that stays paused because the request to resume it was lost. */
  @Test
  public void aResumptionIsRepeatedUntilTheReplicaReportsIt() {
    setLogEnd("i-2", 10);
    members.paused.add(new MemberId("i-2"));
    members.ignoresResume.add(new MemberId("i-2"));
    supervisor.restart();
    orderedAfter(1_000);
    assertEquals(members.resumed, List.of(new MemberId("i-2"), new MemberId("i-2")));
    assertEquals(members.paused, Set.of());
  }

  /** Guards against a late request that ends the pause of a later change. */
  @Test
  public void aReplicaThatIsNotPausedGetsNoRequestToResume() {
    setLogEnd("i-2", 10);
    setLogEnd("i-3", 12);
    supervisor.restart();
    orderedAfter(1_000);
    assertEquals(members.resumed, List.of());
  }
}
