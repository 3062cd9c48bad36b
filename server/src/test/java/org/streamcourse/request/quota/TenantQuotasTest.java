package org.streamcourse.request.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.QuotaNews;
import org.streamcourse.version.control.ControlMessage.QuotaReport;
import org.streamcourse.version.control.ControlMessage.QuotaShare;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests which operations wait for a share, which are refused, and the retry times. */
public class TenantQuotasTest {
  private static final TenantId TENANT = new TenantId("t");
  private static final TenantRule LIMITED = new TenantRule(TENANT, List.of(), 1, 10, 10);
  private static final long RUN = 7;

  private final List<QuotaReport> reports = new ArrayList<>();
  private final List<Long> retryAfter = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private TenantQuotas quotas;
  private boolean confirmed;
  private int admitted;

  @BeforeMethod
  public void start() {
    clock = VirtualTimeScheduler.create();
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    reports.clear();
    retryAfter.clear();
    admitted = 0;
    confirmed = true;
    quotas =
        new TenantQuotas(worker, QuotaPacing.none(5_000), "n1", RUN, () -> confirmed, reports::add);
    worker.repeat(100, () -> quotas.check());
  }

  private void pass(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void request(TenantRule rule) {
    quotas.admit(
        rule,
        new QuotaRequest() {
          @Override
          public TenantId tenant() {
            return rule.id();
          }

          @Override
          public long maxWaitMillis() {
            return 500;
          }

          @Override
          public void admitted(QuotaPermit permit) {
            admitted++;
          }

          @Override
          public void refused(QuotaRefusal refusal) {
            assertTrue(refusal.cause().contains(TENANT.value()), refusal.cause());
            retryAfter.add(refusal.retryAfterMillis());
          }
        });
  }

  private void assignShare(long number, int operations, boolean exhausted) {
    quotas.receive(
        new QuotaNews(
            RUN,
            List.of(new QuotaShare(TENANT, number, operations, 0, Integer.MAX_VALUE, exhausted))));
  }

  @Test
  public void anOperationOfATenantWithoutALimitIsAdmittedAtOnce() {
    request(new TenantRule(TENANT, List.of(), 1, TenantRule.UNLIMITED, 0));
    assertEquals(admitted, 1);
  }

  @Test
  public void theFirstOperationRequestsAShareAndWaitsForIt() {
    request(LIMITED);
    pass(10);
    assertEquals(admitted, 0);
    assertEquals(reports.get(0).demands().get(0).waiting(), 1);
    assignShare(1, 2, false);
    assertEquals(admitted, 1);
  }

  @Test
  public void withoutAnAnswerAnOperationIsRefusedBeforeItsDeadline() {
    request(LIMITED);
    pass(TenantQuotas.MAX_WAIT_MILLIS + 1);
    assertEquals(retryAfter, List.of(100L), "time of the next request, not a whole window");
  }

  /** Guards against waiting operations whose request was sent before the leader was known. */
  @Test
  public void aShareForWaitingOperationsIsRequestedAgainAtTheFirstConfirmation() {
    confirmed = false;
    request(LIMITED);
    pass(30);
    assertEquals(reports.size(), 1);
    confirmed = true;
    quotas.confirmed();
    pass(60);
    assertEquals(reports.size(), 2);
    assignShare(1, 1, false);
    assertEquals(admitted, 1);
  }

  @Test
  public void whenTheLimitIsUsedUpAnOperationIsRefusedAtOnceWithARetryTime() {
    request(LIMITED);
    assignShare(1, 1, false);
    pass(1_000);
    assignShare(1, 1, true);
    request(LIMITED);
    assertEquals(retryAfter, List.of(4_000L), "the first operation leaves the window after 5 s");
  }

  @Test
  public void waitingOperationsAreRefusedWhenTheLimitIsUsedUp() {
    request(LIMITED);
    pass(10);
    assignShare(1, 0, true);
    assertEquals(retryAfter.size(), 1);
  }

  @Test
  public void aShareForAFormerIncarnationIsIgnored() {
    request(LIMITED);
    quotas.receive(
        new QuotaNews(RUN - 1, List.of(new QuotaShare(TENANT, 1, 5, 0, Integer.MAX_VALUE, false))));
    assertEquals(admitted, 0);
  }

  @Test
  public void aNodeWithoutRecentConfirmationDoesNotUseItsShare() {
    request(LIMITED);
    assignShare(1, 5, false);
    confirmed = false;
    request(LIMITED);
    pass(TenantQuotas.MAX_WAIT_MILLIS + 1);
    assertEquals(admitted, 1);
    assertEquals(retryAfter.size(), 1);
  }
}
