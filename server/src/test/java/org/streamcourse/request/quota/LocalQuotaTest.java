package org.streamcourse.request.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What a node may run of one tenant by its share alone. */
public class LocalQuotaTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final int NO_CEILING = Integer.MAX_VALUE;

  private static LocalQuota withShare(int operations) {
    LocalQuota quota = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    quota.told(1, operations, 0, NO_CEILING, false, 0);
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
  public void withoutAShareNothingRuns() {
    LocalQuota quota = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    assertFalse(quota.take(0));
    assertEquals(quota.roomInMillis(1, 0), WINDOW_MILLIS);
  }

  @Test
  public void noWindowHoldsMoreThanTheShare() {
    LocalQuota quota = withShare(3);
    assertEquals(takeAll(quota, 0), 3);
    assertEquals(takeAll(quota, WINDOW_MILLIS - 1), 0);
    assertEquals(quota.roomInMillis(1, WINDOW_MILLIS - 1), 1);
    assertEquals(takeAll(quota, WINDOW_MILLIS), 3);
  }

  @Test
  public void whatWasNotRunDoesNotCount() {
    LocalQuota quota = withShare(1);
    assertTrue(quota.take(7));
    quota.giveBack(7, 7);
    assertTrue(quota.take(8));
  }

  @Test
  public void aShareIsLoweredAsFarAsTheWindowAllowsAndStaysSo() {
    LocalQuota quota = withShare(10);
    assertEquals(takeAll(quota, 0), 10);
    quota.told(1, 10, 0, 2, false, 0);
    assertEquals(quota.held(1), 10, "ten are in the window");
    assertEquals(quota.held(WINDOW_MILLIS), 2);
    quota.told(1, 10, 0, NO_CEILING, false, WINDOW_MILLIS);
    assertEquals(quota.held(WINDOW_MILLIS), 2, "given up is given up");
  }

  @Test
  public void anOlderWordChangesNothing() {
    LocalQuota quota = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    quota.told(5, 2, 0, NO_CEILING, false, 0);
    quota.told(4, 100, 0, NO_CEILING, false, 0);
    assertEquals(takeAll(quota, 0), 2);
  }
}
