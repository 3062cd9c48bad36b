package org.streamcourse.request.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests which operations of a tenant a node admits by its own share. */
public class LocalQuotaTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final int NO_CEILING = Integer.MAX_VALUE;

  private static LocalQuota withShare(int operations) {
    LocalQuota quota = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    quota.update(1, operations, 0, NO_CEILING, false, 0);
    return quota;
  }

  private static int takeAll(LocalQuota quota, long now) {
    int taken = 0;
    while (quota.take(now)) {
      taken++;
    }
    return taken;
  }

  @Test
  public void withoutAShareNothingIsAdmitted() {
    LocalQuota quota = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    assertFalse(quota.take(0));
    assertEquals(quota.millisUntilAllowed(1, 0), WINDOW_MILLIS);
  }

  @Test
  public void noWindowHoldsMoreThanTheShare() {
    LocalQuota quota = withShare(3);
    assertEquals(takeAll(quota, 0), 3);
    assertEquals(takeAll(quota, WINDOW_MILLIS - 1), 0);
    assertEquals(quota.millisUntilAllowed(1, WINDOW_MILLIS - 1), 1);
    assertEquals(takeAll(quota, WINDOW_MILLIS), 3);
  }

  @Test
  public void anOperationThatWasGivenBackDoesNotCount() {
    LocalQuota quota = withShare(1);
    assertTrue(quota.take(7));
    quota.giveBack(7, 7);
    assertTrue(quota.take(8));
  }

  @Test
  public void aShareIsLoweredAsFarAsTheWindowAllowsAndStaysLow() {
    LocalQuota quota = withShare(10);
    assertEquals(takeAll(quota, 0), 10);
    quota.update(1, 10, 0, 2, false, 0);
    assertEquals(quota.held(1), 10, "ten operations are in the window");
    assertEquals(quota.held(WINDOW_MILLIS), 2);
    quota.update(1, 10, 0, NO_CEILING, false, WINDOW_MILLIS);
    assertEquals(quota.held(WINDOW_MILLIS), 2, "a released share is not restored");
  }

  @Test
  public void anUpdateWithAnOlderNumberChangesNothing() {
    LocalQuota quota = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    quota.update(5, 2, 0, NO_CEILING, false, 0);
    quota.update(4, 100, 0, NO_CEILING, false, 0);
    assertEquals(takeAll(quota, 0), 2);
  }
}
