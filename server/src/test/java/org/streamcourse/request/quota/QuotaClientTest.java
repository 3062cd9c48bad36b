package org.streamcourse.request.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.quota.QuotaRefusal.Reason;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests to which quota server a node sends a request, and its retries when one cannot decide. */
public class QuotaClientTest {
  private static final TenantId TENANT = new TenantId("t");
  private static final TenantRule LIMITED = new TenantRule(TENANT, List.of(), 1, 10, 10);
  private static final Placement NORTH = new Placement("north", "north-a");
  private static final Placement SOUTH = new Placement("south", "south-a");

  /** A sent message. */
  private record Sent(String to, Object message) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<QuotaRefusal> refusals = new ArrayList<>();
  private final List<QuotaPermit> permits = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private QuotaClient quotas;
  private List<String> quotaServers;

  /** Time by which the clock is ahead of the tasks, as after a freeze of the process. */
  private long frozenMillis;

  @BeforeMethod
  public void start() {
    sent.clear();
    refusals.clear();
    permits.clear();
    clock = VirtualTimeScheduler.create();
    frozenMillis = 0;
    Worker worker = new LateWorker(SchedulerWorker.onSchedulerClock(clock));
    TreeMap<String, NodeImage> nodes = new TreeMap<>();
    for (int i = 0; i < 4; i++) {
      nodes.put("n" + i, new NodeImage("n" + i, 1, "", 1, NORTH, false));
      nodes.put("s" + i, new NodeImage("s" + i, 1, "", 1, SOUTH, false));
    }
    // This node is not in the image, so that it is no quota server.
    QuotaServerOrder order = new QuotaServerOrder(QuotaServerOrder.Scope.REGION, NORTH);
    quotaServers = order.of(nodes, TENANT);
    ClusterImage image = new ClusterImage(1, 0, new TreeMap<>(), nodes);
    TenantQuotas own =
        new TenantQuotas(worker, QuotaPacing.of(5_000), "me", 1, () -> true, report -> {});
    quotas =
        new QuotaClient(
            worker,
            (peer, message) -> sent.add(new Sent(peer, message)),
            own,
            "me",
            order,
            () -> image,
            0);
    worker.repeat(100, () -> quotas.check());
  }

  private void pass(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private Disposable request() {
    Disposable cancellation =
        quotas.admit(
            LIMITED,
            new QuotaRequest() {
              @Override
              public TenantId tenant() {
                return TENANT;
              }

              @Override
              public long maxWaitMillis() {
                return 500;
              }

              @Override
              public void admitted(QuotaPermit permit) {
                permits.add(permit);
              }

              @Override
              public void refused(QuotaRefusal refusal) {
                refusals.add(refusal);
              }
            });
    pass(1);
    return cancellation;
  }

  private void answer(String quotaServer, QuotaMessage message) {
    quotas.receive(quotaServer, message);
    pass(1);
  }

  private static QuotaMessage.Admitted admitted(int number) {
    return new QuotaMessage.Admitted(new int[] {number});
  }

  private static QuotaMessage.Refused refused(int number, Reason reason) {
    return new QuotaMessage.Refused(number, reason, 3, 3, 300);
  }

  private List<String> requestedQuotaServers() {
    return sent.stream()
        .filter(each -> each.message() instanceof QuotaMessage.Ask ask && !ask.tenants().isEmpty())
        .map(Sent::to)
        .toList();
  }

  private long notRun(String quotaServer) {
    return sent.stream()
        .filter(
            each -> each.to().equals(quotaServer) && each.message() instanceof QuotaMessage.NotRun)
        .count();
  }

  @Test
  public void theQuotaServersOfTheOwnRegionComeFirst() {
    assertTrue(quotaServers.get(0).startsWith("n"), quotaServers.toString());
    assertTrue(quotaServers.get(1).startsWith("n"), quotaServers.toString());
    assertTrue(quotaServers.get(2).startsWith("s"), quotaServers.toString());
  }

  @Test
  public void operationsThatArriveTogetherGoInOneMessage() {
    quotas.admit(LIMITED, new QuotaClientTest.Ignored());
    quotas.admit(LIMITED, new QuotaClientTest.Ignored());
    pass(1);
    assertEquals(sent.size(), 1);
    assertEquals(((QuotaMessage.Ask) sent.get(0).message()).tenants().size(), 2);
  }

  @Test
  public void anAdmittedOperationThatDoesNotRunIsReportedToItsQuotaServer() {
    request();
    answer(quotaServers.get(0), admitted(1));
    assertEquals(permits.size(), 1);
    permits.get(0).giveBack();
    pass(1);
    assertEquals(notRun(quotaServers.get(0)), 1);
  }

  @Test
  public void withoutAReplyTheNextQuotaServerIsUsedUntilTheFirstRepliesAgain() {
    request();
    pass(101);
    assertEquals(requestedQuotaServers(), quotaServers.subList(0, 2));
    assertEquals(
        notRun(quotaServers.get(0)),
        1,
        "it may have admitted the operation, which another server now decides");
    answer(quotaServers.get(0), admitted(1));
    assertEquals(permits.size(), 0, "given back already");
    sent.clear();
    request();
    assertEquals(requestedQuotaServers(), quotaServers.subList(0, 1), "it has replied again");
  }

  @Test
  public void aSuspectedQuotaServerGetsPingsAndNoRequests() {
    request();
    pass(101);
    sent.clear();
    request();
    assertEquals(requestedQuotaServers(), quotaServers.subList(1, 2));
    pass(301);
    assertTrue(
        sent.stream().anyMatch(each -> each.to().equals(quotaServers.get(0))), "a ping is sent");
  }

  @Test
  public void aQuotaServerThatWaitsForTheLeaderIsNotSuspected() {
    request();
    answer(quotaServers.get(0), new QuotaMessage.Waits(new int[] {1}));
    pass(150);
    assertEquals(requestedQuotaServers().size(), 1);
    answer(quotaServers.get(0), admitted(1));
    assertEquals(permits.size(), 1);
  }

  @Test
  public void afterARefusalForLackOfShareTheNextQuotaServerIsUsed() {
    request();
    answer(quotaServers.get(0), refused(1, Reason.NO_ANSWER));
    assertEquals(requestedQuotaServers(), quotaServers.subList(0, 2));
    assertTrue(refusals.isEmpty());
  }

  /** Guards against a message for each operation of a tenant that floods beyond its limit. */
  @Test
  public void whileTheLimitIsUsedUpOperationsAreRefusedAtOnceWithARetryTime() {
    request();
    answer(quotaServers.get(0), refused(1, Reason.NO_MORE));
    assertEquals(refusals.get(0).retryAfterMillis(), 300);
    pass(100);
    sent.clear();
    request();
    assertEquals(refusals.get(1).retryAfterMillis(), 199, "101 ms later");
    assertTrue(sent.isEmpty());
    pass(200);
    request();
    assertFalse(sent.isEmpty());
  }

  @Test
  public void withoutAnyQuotaServerAnOperationIsRefusedBeforeItsLongestWait() {
    request();
    pass(451);
    assertEquals(refusals.get(0).reason(), Reason.SILENT);
  }

  /**
   * Guards against an old permit that a node uses after it was frozen: the operation would run in
   * another window than the one in which it was counted.
   */
  @Test
  public void anOldPermitIsNotUsed() {
    request();
    frozenMillis = 451;
    answer(quotaServers.get(0), admitted(1));
    assertTrue(permits.isEmpty());
    assertEquals(notRun(quotaServers.get(0)), 1);
  }

  @Test
  public void aCancelledOperationDoesNotCount() {
    request().dispose();
    pass(1);
    assertEquals(notRun(quotaServers.get(0)), 1);
    answer(quotaServers.get(0), admitted(1));
    assertTrue(permits.isEmpty());
  }

  @Test
  public void afterTheLossOfALinkTheNextQuotaServerIsUsed() {
    request();
    quotas.linkLost(quotaServers.get(0));
    pass(1);
    assertEquals(requestedQuotaServers(), quotaServers.subList(0, 2));
  }

  /** Worker whose clock can run ahead of its tasks, as after a freeze of the process. */
  private final class LateWorker implements Worker {
    private final Worker inner;

    LateWorker(Worker inner) {
      this.inner = inner;
    }

    @Override
    public long now() {
      return inner.now() + frozenMillis;
    }

    @Override
    public void execute(Runnable task) {
      // The virtual clock would run the task within this call.
      inner.schedule(1, task);
    }

    @Override
    public Disposable schedule(long delayMillis, Runnable task) {
      return inner.schedule(delayMillis, task);
    }
  }

  /** An operation whose outcome does not matter. */
  private static final class Ignored implements QuotaRequest {
    @Override
    public TenantId tenant() {
      return TENANT;
    }

    @Override
    public long maxWaitMillis() {
      return 500;
    }

    @Override
    public void admitted(QuotaPermit permit) {
      // Ignored.
    }

    @Override
    public void refused(QuotaRefusal refusal) {
      // Ignored.
    }
  }
}
