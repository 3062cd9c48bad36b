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

/** Which quota server a node asks for an operation, and what it does when that one can't decide. */
public class QuotaClientTest {
  private static final TenantId TENANT = new TenantId("t");
  private static final TenantRule LIMITED = new TenantRule(TENANT, List.of(), 1, 10, 10);
  private static final Placement NORTH = new Placement("north", "north-a");
  private static final Placement SOUTH = new Placement("south", "south-a");

  /** A message on its way. */
  private record Sent(String to, Object message) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<QuotaRefusal> refusals = new ArrayList<>();
  private final List<QuotaPermit> permits = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private QuotaClient quotas;
  private List<String> quotaServers;

  /** Time by which the clock is ahead of the tasks. */
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
    // The asking node is none of the image's, so that it is nobody's quota server.
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

  private Disposable ask() {
    Disposable asked =
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
    return asked;
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

  private List<String> askedQuotaServers() {
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
  public void operationsThatComeTogetherGoInOneMessage() {
    quotas.admit(LIMITED, new QuotaClientTest.Ignored());
    quotas.admit(LIMITED, new QuotaClientTest.Ignored());
    pass(1);
    assertEquals(sent.size(), 1);
    assertEquals(((QuotaMessage.Ask) sent.get(0).message()).tenants().size(), 2);
  }

  @Test
  public void aQuotaServerAdmitsAndHearsWhatDidNotRun() {
    ask();
    answer(quotaServers.get(0), admitted(1));
    assertEquals(permits.size(), 1);
    permits.get(0).giveBack();
    pass(1);
    assertEquals(notRun(quotaServers.get(0)), 1);
  }

  @Test
  public void aSilentQuotaServerIsFollowedByTheNextAndAskedAgainOnceItSpeaks() {
    ask();
    pass(101);
    assertEquals(askedQuotaServers(), quotaServers.subList(0, 2));
    assertEquals(
        notRun(quotaServers.get(0)), 1, "it may have admitted what now runs by another's word");
    answer(quotaServers.get(0), admitted(1));
    assertEquals(permits.size(), 0, "given back already");
    sent.clear();
    ask();
    assertEquals(askedQuotaServers(), quotaServers.subList(0, 1), "it has spoken again");
  }

  @Test
  public void aSuspectedQuotaServerIsNotWaitedFor() {
    ask();
    pass(101);
    sent.clear();
    ask();
    assertEquals(askedQuotaServers(), quotaServers.subList(1, 2));
    pass(301);
    assertTrue(
        sent.stream().anyMatch(each -> each.to().equals(quotaServers.get(0))),
        "a sign of life is asked");
  }

  @Test
  public void aQuotaServerThatWaitsForTheLeaderIsNotTakenForSilent() {
    ask();
    answer(quotaServers.get(0), new QuotaMessage.Waits(new int[] {1}));
    pass(150);
    assertEquals(askedQuotaServers().size(), 1);
    answer(quotaServers.get(0), admitted(1));
    assertEquals(permits.size(), 1);
  }

  @Test
  public void withoutRoomAtOneQuotaServerTheNextIsAsked() {
    ask();
    answer(quotaServers.get(0), refused(1, Reason.NO_ANSWER));
    assertEquals(askedQuotaServers(), quotaServers.subList(0, 2));
    assertTrue(refusals.isEmpty());
  }

  /** The pattern of a tenant that floods: it costs no messages while its limit is used up. */
  @Test
  public void whereTheLimitIsUsedUpOperationsAreRefusedAtOnceWithTheTimeToComeBack() {
    ask();
    answer(quotaServers.get(0), refused(1, Reason.NO_MORE));
    assertEquals(refusals.get(0).retryAfterMillis(), 300);
    pass(100);
    sent.clear();
    ask();
    assertEquals(refusals.get(1).retryAfterMillis(), 199, "101 ms later");
    assertTrue(sent.isEmpty());
    pass(200);
    ask();
    assertFalse(sent.isEmpty());
  }

  @Test
  public void withoutAnyQuotaServerItIsRefusedBeforeItsWaitIsOver() {
    ask();
    pass(451);
    assertEquals(refusals.get(0).reason(), Reason.SILENT);
  }

  /**
   * The pattern of a node that was frozen: what was admitted long ago may run in another window.
   */
  @Test
  public void anOldPermitIsNotUsed() {
    ask();
    frozenMillis = 451;
    answer(quotaServers.get(0), admitted(1));
    assertTrue(permits.isEmpty());
    assertEquals(notRun(quotaServers.get(0)), 1);
  }

  @Test
  public void whatIsTakenBackDoesNotCount() {
    ask().dispose();
    pass(1);
    assertEquals(notRun(quotaServers.get(0)), 1);
    answer(quotaServers.get(0), admitted(1));
    assertTrue(permits.isEmpty());
  }

  @Test
  public void aLostLinkLeadsToTheNextQuotaServer() {
    ask();
    quotas.linkLost(quotaServers.get(0));
    pass(1);
    assertEquals(askedQuotaServers(), quotaServers.subList(0, 2));
  }

  /** Runs its tasks late, as after a freeze. */
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
      // A virtual clock would run it within this call.
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
      // Not looked at.
    }

    @Override
    public void refused(QuotaRefusal refusal) {
      // Not looked at.
    }
  }
}
