package org.streamcourse.connection.backend;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against a share with many requests starving another, and against wrong wait estimates. */
public class FairQueueTest {
  private static FairQueue<String> manyAndOne() {
    FairQueue<String> queue = new FairQueue<>();
    queue.add("many", "m1");
    queue.add("many", "m2");
    queue.add("many", "m3");
    queue.add("one", "o1");
    return queue;
  }

  @Test
  public void sharesTakeTurns() {
    FairQueue<String> queue = manyAndOne();
    List<String> order = new ArrayList<>();
    while (!queue.isEmpty()) {
      order.add(queue.poll());
    }
    assertEquals(order, List.of("m1", "o1", "m2", "m3"));
  }

  @Test
  public void countsRequestsAheadOfANewOne() {
    FairQueue<String> queue = manyAndOne();
    assertEquals(queue.aheadOf("many"), 4);
    assertEquals(queue.aheadOf("one"), 3, "one of its own, and two of share many");
    assertEquals(queue.aheadOf("none"), 2, "one of each share");
  }

  @Test
  public void displacesOnlyFromALongerShare() {
    FairQueue<String> queue = manyAndOne();
    assertEquals(queue.pollOfLongerThan("many"), Optional.empty());
    assertEquals(queue.pollOfLongerThan("one"), Optional.of("m3"));
    assertEquals(queue.pollOfLongerThan("one"), Optional.empty());
    assertEquals(queue.size(), 3);
  }
}
