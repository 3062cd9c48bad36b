package org.streamcourse.request.edge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Retries are limited to a reserve, and after that to a share of the requests. */
public class RetryBudgetTest {
  private static long allowed(RetryBudget budget, int requested) {
    return IntStream.range(0, requested).filter(any -> budget.tryRetry()).count();
  }

  @Test
  public void reserveIsSpentOnceAndEarnedByRequests() {
    RetryBudget budget = new RetryBudget();
    assertEquals(allowed(budget, 1_000), 100);
    assertEquals(budget.denied(), 900);
    for (int i = 0; i < 50; i++) {
      budget.requestStarted();
    }
    assertEquals(allowed(budget, 1_000), 5, "ten requests earn one retry");
  }

  @Test
  public void reserveHasALimit() {
    RetryBudget budget = new RetryBudget();
    for (int i = 0; i < 100_000; i++) {
      budget.requestStarted();
    }
    assertTrue(allowed(budget, 1_000) <= 100);
  }
}
