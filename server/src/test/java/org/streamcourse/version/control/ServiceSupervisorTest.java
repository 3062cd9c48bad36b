package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.PromotionAgent.Order;
import org.streamcourse.version.control.PromotionAgent.Outcome;
import org.streamcourse.version.control.ServiceCall.MemberHeartbeat;
import org.streamcourse.version.control.ServiceCall.MemberLeaves;
import org.streamcourse.version.control.ServiceCall.ReplaceDocument;
import org.streamcourse.version.control.ServiceCall.Result;
import org.streamcourse.version.control.ServiceCall.Status;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.LargeDocument;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Calls are answered once their effect is agreed, departed members stay removed, fences of orders
 * increase, and a former primary with dropped records is not promoted.
 */
public class ServiceSupervisorTest {
  private static final String SERVICE = "s";

  private final List<ClusterChange> proposed = new ArrayList<>();
  private final List<Order> orders = new ArrayList<>();
  private final List<Consumer<Outcome>> outcomes = new ArrayList<>();
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

  @BeforeMethod
  public void create() {
    proposed.clear();
    orders.clear();
    outcomes.clear();
    now = 10_000;
    image = ClusterImage.EMPTY;
    registry = new NodeRegistry();
    supervisor =
        new ServiceSupervisor(
            actions,
            registry,
            ControlSettings.DEFAULT,
            (order, outcome) -> {
              orders.add(order);
              outcomes.add(outcome);
            },
            MemberProbe.NONE,
            Runnable::run);
    supervisor.restart();
  }

  /** Applies all proposed changes. */
  private void agree() {
    List<ClusterChange> changes = List.copyOf(proposed);
    proposed.clear();
    for (ClusterChange change : changes) {
      image = image.apply(change);
      supervisor.applied(change, image);
    }
  }

  private static RegisteredMember member(String id, int port, boolean draining) {
    return new RegisteredMember(new MemberId(id), "10.0.0.1", port, "z", 3, draining);
  }

  private List<Result> heartbeat(RegisteredMember member, boolean primary, long sequence) {
    List<Result> results = new ArrayList<>();
    supervisor.memberHeartbeat(
        image, new MemberHeartbeat(SERVICE, member, primary, sequence), results::add);
    return results;
  }

  private List<Result> replace(long version) {
    List<Result> results = new ArrayList<>();
    RoutingDocument document =
        new RoutingDocument(
            version, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "v" + version);
    supervisor.replaceDocument(image, new ReplaceDocument(document), results::add);
    return results;
  }

  private ServiceImage service() {
    return image.service(SERVICE);
  }

  private void startService() {
    heartbeat(member("i-1", 1, false), true, 1);
    heartbeat(member("i-2", 2, false), false, 1);
    heartbeat(member("i-3", 3, false), false, 1);
    agree();
    assertEquals(service().primary(), new MemberId("i-1"));
  }

  private void report(String node, String id, boolean reachable) {
    report(node, new MemberReport(SERVICE, id, reachable, MemberStatus.UNKNOWN), true);
  }

  private void report(String node, MemberReport report, boolean all) {
    NodeImage self = new NodeImage(node, 1, "h", 1, new Placement("r", "z"), false);
    registry.onHeartbeat(
        new NodeHeartbeat(self, 1, 1, 1, false, 0, all, List.of(report)), now, true);
  }

  /** Reports the log position of one member; the reports of other members stay. */
  private void reportPosition(String id, boolean reachable, long term, long position) {
    TermPosition end = new TermPosition(term, position);
    MemberStatus status = new MemberStatus(term, MemberRole.REPLICA, "", end, end, end);
    report("p1", new MemberReport(SERVICE, id, reachable, status), false);
  }

  /** Member i-1 was primary and wrote up to 1:98; member i-2 has become primary after it. */
  private void changePrimary() {
    startService();
    reportPosition("i-1", true, 1, 98);
    heartbeat(member("i-2", 2, false), true, 2);
    agree();
    assertEquals(service().primary(), new MemberId("i-2"));
  }

  private List<MemberId> ordered() {
    supervisor.check(image);
    agree();
    return orders.stream().map(Order::target).toList();
  }

  @Test
  public void aDocumentIsAcknowledgedOnceItIsAgreed() {
    List<Result> results = replace(5);
    assertEquals(results, List.of());
    agree();
    assertEquals(results, List.of(Result.DONE));
    assertEquals(image.document().source(), "v5");
  }

  @Test
  public void anOlderDocumentIsAcknowledgedAndChangesNothing() {
    replace(5);
    agree();
    assertEquals(replace(4), List.of(Result.DONE));
    assertEquals(replace(5), List.of(Result.DONE));
    assertEquals(proposed, List.of());
    assertEquals(image.document().version(), 5);
  }

  @Test
  public void ofTwoDocumentsWithOneVersionTheFirstHolds() {
    List<Result> first = replace(5);
    RoutingDocument other =
        new RoutingDocument(5, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "other");
    supervisor.replaceDocument(image, new ReplaceDocument(other), any -> {});
    agree();
    assertEquals(first, List.of(Result.DONE));
    assertEquals(image.document().source(), "v5");
  }

  @Test
  public void anInvalidDocumentIsRefused() {
    assertEquals(replace(-2).get(0).status(), Status.REFUSED);
    assertEquals(proposed, List.of());
  }

  @Test
  public void drainingIsAcknowledgedOnceItIsAgreed() {
    startService();
    List<Result> results = heartbeat(member("i-2", 2, true), false, 2);
    assertEquals(results, List.of());
    agree();
    assertEquals(results, List.of(Result.DONE));
    assertTrue(service().members().get(new MemberId("i-2")).draining());
  }

  @Test
  public void aLateHeartbeatDoesNotRestoreAMember() {
    startService();
    heartbeat(member("i-2", 2, true), false, 5);
    agree();
    heartbeat(member("i-2", 2, false), false, 4);
    agree();
    assertTrue(
        service().members().get(new MemberId("i-2")).draining(),
        "a heartbeat with a lower sequence number is ignored");
    supervisor.restart();
    heartbeat(member("i-2", 2, false), false, 4);
    agree();
    assertTrue(
        service().members().get(new MemberId("i-2")).draining(),
        "a new leader keeps the member draining");
    supervisor.memberLeaves(image, new MemberLeaves(new MemberId("i-2")), any -> {});
    agree();
    heartbeat(member("i-2", 2, false), false, 9);
    agree();
    assertFalse(service().members().containsKey(new MemberId("i-2")));
  }

  @Test
  public void anAddressBelongsToTheMemberThatRegisteredThereLast() {
    startService();
    heartbeat(member("i-9", 2, false), false, 1);
    agree();
    assertFalse(service().members().containsKey(new MemberId("i-2")));
    assertTrue(service().members().containsKey(new MemberId("i-9")));
  }

  @Test
  public void anUnreachablePrimaryIsReplacedByOneOrder() {
    startService();
    report("p1", "i-1", false);
    supervisor.check(image);
    supervisor.check(image);
    agree();
    assertEquals(orders.size(), 1);
    assertEquals(orders.get(0).fence(), service().fence());
    outcomes.get(0).accept(Outcome.ACCEPTED);
    heartbeat(member(orders.get(0).target().value(), 3, false), true, 2);
    agree();
    assertEquals(service().primary(), orders.get(0).target());
    supervisor.check(image);
    agree();
    assertEquals(orders.size(), 1);
  }

  @Test
  public void aPrimaryThatOneNodeReachesIsNotReplaced() {
    startService();
    report("p1", "i-1", false);
    report("p2", "i-1", true);
    supervisor.check(image);
    assertEquals(proposed, List.of());
  }

  @Test
  public void anUnansweredOrderIsSentAgainWithAHigherFence() {
    startService();
    report("p1", "i-1", false);
    supervisor.check(image);
    agree();
    outcomes.get(0).accept(Outcome.UNANSWERED);
    supervisor.check(image);
    agree();
    assertEquals(orders.size(), 2);
    assertTrue(orders.get(1).fence() > orders.get(0).fence());
  }

  @Test
  public void aMemberThatBecomesPrimaryReplacesAPrimaryWithoutHeartbeats() {
    startService();
    heartbeat(member("i-2", 2, false), true, 2);
    agree();
    assertEquals(service().primary(), new MemberId("i-2"));
  }

  @Test
  public void aLateClaimUnderANewLeaderDoesNotReplaceThePrimary() {
    startService();
    supervisor.restart();
    heartbeat(member("i-1", 1, false), true, 7);
    heartbeat(member("i-3", 3, false), true, 2);
    agree();
    assertEquals(service().primary(), new MemberId("i-1"));
  }

  @Test
  public void aDrainingPrimaryIsReplaced() {
    startService();
    heartbeat(member("i-1", 1, true), true, 2);
    agree();
    supervisor.check(image);
    agree();
    assertEquals(orders.size(), 1);
    assertFalse(orders.get(0).target().equals(new MemberId("i-1")));
  }

  @Test
  public void aFormerPrimaryWithDroppedRecordsIsNotPromoted() {
    changePrimary();
    reportPosition("i-2", false, 2, 89);
    reportPosition("i-3", true, 1, 69);
    assertEquals(ordered(), List.of(new MemberId("i-3")));
  }

  @Test
  public void droppedRecordsAreDetectedWithoutARecordOfTheNewTerm() {
    changePrimary();
    reportPosition("i-2", false, 1, 88);
    reportPosition("i-3", true, 1, 69);
    assertEquals(ordered(), List.of(new MemberId("i-3")));
  }

  @Test
  public void aFormerPrimaryThatFollowsThePresentOneIsPromoted() {
    changePrimary();
    reportPosition("i-2", false, 2, 89);
    reportPosition("i-1", true, 2, 90);
    reportPosition("i-3", true, 1, 69);
    assertEquals(ordered(), List.of(new MemberId("i-1")));
  }

  @Test
  public void aFormerPrimaryWithAnUnknownPositionIsNotPromoted() {
    startService();
    heartbeat(member("i-2", 2, false), true, 2);
    agree();
    reportPosition("i-2", false, 2, 89);
    assertEquals(ordered(), List.of(new MemberId("i-3")));
  }

  @Test
  public void aFormerPrimaryWithDroppedRecordsIsPromotedOnceThePrimaryIsLost() {
    changePrimary();
    supervisor.memberLeaves(image, new MemberLeaves(new MemberId("i-3")), any -> {});
    agree();
    reportPosition("i-2", false, 2, 89);
    assertEquals(ordered(), List.of());
    now += 16_000;
    heartbeat(member("i-1", 1, false), false, 3);
    reportPosition("i-1", true, 1, 98);
    reportPosition("i-2", false, 2, 89);
    now += 1_000;
    reportPosition("i-1", true, 1, 98);
    reportPosition("i-2", false, 2, 89);
    assertEquals(ordered(), List.of(new MemberId("i-1")));
  }

  private List<Result> replace(RoutingDocument document) {
    List<Result> results = new ArrayList<>();
    supervisor.replaceDocument(image, new ReplaceDocument(document), results::add);
    return results;
  }

  /**
   * Guards against documents that wait in the log and in memory though a newer one replaces them.
   */
  @Test
  public void onlyTheNewestOfTheWaitingDocumentsIsProposed() {
    LargeDocument versions = new LargeDocument(100);
    List<List<Result>> answers = new ArrayList<>();
    answers.add(replace(versions.addRoute()));
    RoutingDocument newest = null;
    for (int i = 0; i < 20; i++) {
      newest = versions.changeRoute(i);
      answers.add(replace(newest));
    }
    assertEquals(proposed.size(), 1, "one document is under way");
    agree();
    assertEquals(answers.get(0), List.of(Result.DONE));
    assertEquals(answers.get(20), List.of());
    assertEquals(proposed.size(), 1, "the newest one follows");
    assertTrue(proposed.get(0) instanceof ClusterChange.DocumentEdited);
    agree();
    assertEquals(image.document(), newest);
    answers.forEach(answer -> assertEquals(answer, List.of(Result.DONE)));
    assertEquals(proposed, List.of());
  }

  /**
   * Guards against a document that is never proposed again after a write to the disk has failed.
   */
  @Test
  public void afterAFailedWriteADocumentIsProposedAgain() {
    LargeDocument versions = new LargeDocument(10);
    RoutingDocument first = versions.addRoute();
    RoutingDocument second = versions.addRoute();
    replace(first);
    replace(second);
    proposed.clear();
    supervisor.proposalsFailed();
    List<Result> answer = replace(first);
    agree();
    agree();
    assertEquals(answer, List.of(Result.DONE));
    assertEquals(image.document(), second);
  }

  /**
   * Guards against an edit that has no effect, since another document was agreed before it, and
   * whose caller waits in vain: a failed write of other changes does not withdraw that document.
   */
  @Test
  public void aDocumentWhoseBaseHasChangedIsProposedAgain() {
    LargeDocument versions = new LargeDocument(10);
    replace(versions.addRoute());
    agree();
    RoutingDocument underWay = versions.addRoute();
    RoutingDocument next = versions.addRoute();
    replace(underWay);
    supervisor.proposalsFailed();
    List<Result> answer = replace(next);
    assertEquals(proposed.size(), 2);
    agree();
    assertEquals(image.document(), underWay);
    agree();
    assertEquals(image.document(), next);
    assertEquals(answer, List.of(Result.DONE));
    assertEquals(proposed, List.of());
  }

  /** Guards against two documents that are under way at once, of which the second has no effect. */
  @Test
  public void theNextDocumentWaitsForTheOneUnderWay() {
    LargeDocument versions = new LargeDocument(10);
    replace(versions.addRoute());
    agree();
    RoutingDocument first = versions.addRoute();
    RoutingDocument second = versions.addRoute();
    RoutingDocument third = versions.addRoute();
    replace(first);
    supervisor.proposalsFailed();
    replace(second);
    replace(third);
    ClusterChange change = proposed.remove(0);
    image = image.apply(change);
    supervisor.applied(change, image);
    assertEquals(image.document(), first);
    assertEquals(proposed.size(), 1, "the second document is under way");
    agree();
    agree();
    assertEquals(image.document(), third);
  }
}
