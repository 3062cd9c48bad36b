package org.streamcourse.request.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests that a restarted node soon uses its inherited share, and no window exceeds the share. */
public class QuotaPacingTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final int NO_CEILING = Integer.MAX_VALUE;
  private static final QuotaPacing PACING = QuotaPacing.of(WINDOW_MILLIS);

  /** Restarts at random times, with random bursts of use and occasional raises of the share. */
  @Test
  public void noWindowHoldsMoreThanTheShareAcrossRestarts() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    for (int round = 0; round < 300; round++) {
      int share = 1 + random.nextInt(120);
      Deque<Long> ran = new ArrayDeque<>();
      LocalQuota quota = new LocalQuota(PACING, 0);
      quota.update(1, share, 0, NO_CEILING, false, 0);
      long number = 1;
      double takeProbability = random.nextDouble();
      for (long now = 0; now < 40_000; now += 1 + random.nextLong(60)) {
        if (random.nextInt(150) == 0) {
          number++;
          quota = new LocalQuota(PACING, now);
          long updatedMillis = now + random.nextLong(300);
          quota.update(number, share, share, NO_CEILING, false, updatedMillis);
          now = updatedMillis;
        } else if (random.nextInt(400) == 0) {
          // The share rises by free operations; the inherited part stays.
          number++;
          share += random.nextInt(10);
        }
        while (random.nextDouble() < takeProbability && quota.take(now)) {
          ran.addLast(now);
        }
        while (!ran.isEmpty() && now - ran.peekFirst() >= WINDOW_MILLIS) {
          ran.pollFirst();
        }
        assertTrue(ran.size() <= share, ran.size() + " of " + share + " in round " + round);
      }
    }
  }

  @Test
  public void anInheritedShareCanBeUsedBeforeTheFirstWindowIsOver() {
    LocalQuota quota = new LocalQuota(PACING, 0);
    quota.update(1, 100, 100, NO_CEILING, false, 2_500);
    int taken = 0;
    while (quota.take(2_500)) {
      taken++;
    }
    assertTrue(taken > 10, taken + " of 100 after half a window");
    LocalQuota unpaced = new LocalQuota(QuotaPacing.none(WINDOW_MILLIS), 0);
    unpaced.update(1, 100, 100, NO_CEILING, false, 2_500);
    assertEquals(unpaced.take(2_500), false, "the former incarnation may have used all of it");
  }

  @Test
  public void theNewPartOfAShareCanBeUsedAtOnce() {
    LocalQuota quota = new LocalQuota(PACING, 0);
    quota.update(1, 60, 20, NO_CEILING, false, 0);
    assertTrue(quota.take(0));
  }

  @Test
  public void aTenantThatRequestsMoreGetsItsWholeShareInEachWindow() {
    LocalQuota quota = new LocalQuota(PACING, 0);
    quota.update(1, 50, 0, NO_CEILING, false, 0);
    int taken = 0;
    for (long now = 0; now < 8 * WINDOW_MILLIS; now += 10) {
      taken += quota.take(now) ? 1 : 0;
    }
    assertTrue(taken >= 8 * 50 - 10, taken + " in 8 windows of 50");
  }

  @Test
  public void aDroppedShareIsRestoredOnlyWithANewNumber() {
    LocalQuota quota = new LocalQuota(PACING, 0);
    quota.update(3, 10, 0, NO_CEILING, false, 0);
    assertTrue(quota.take(0));
    quota.drop();
    quota.update(3, 10, 0, NO_CEILING, false, 10);
    assertEquals(quota.take(10), false);
    assertEquals(quota.held(10), 1, "admitted operations count as held");
    quota.update(4, 10, 0, NO_CEILING, false, 20);
    assertTrue(quota.take(20));
  }
}
