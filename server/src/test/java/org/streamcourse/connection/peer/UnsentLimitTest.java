package org.streamcourse.connection.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Links share one limit; those that hold more than the average are full first. */
public class UnsentLimitTest {
  private final Map<String, Long> bytes = new TreeMap<>();
  private final UnsentLimit<String> limit = new UnsentLimit<>(1_000, bytes.keySet(), bytes::get);

  /** Guards against a limit for each link that many links exceed together. */
  @Test
  public void manyLinksShareTheLimit() {
    for (int i = 0; i < 100; i++) {
      bytes.put("link-" + i, 9L);
    }
    assertFalse(limit.isFull("link-0"));
    for (int i = 0; i < 100; i++) {
      bytes.put("link-" + i, 11L);
    }
    assertTrue(limit.isFull("link-0"));
    assertEquals(limit.total(), 1_100);
  }

  @Test
  public void onlyTheLinksAboveTheAverageAreFull() {
    bytes.clear();
    bytes.put("idle", 0L);
    bytes.put("slow", 10L);
    bytes.put("stuck", 995L);
    assertTrue(limit.isFull("stuck"));
    assertFalse(limit.isFull("slow"));
    assertFalse(limit.isFull("idle"));
    bytes.put("stuck", 900L);
    assertFalse(limit.isFull("stuck"));
  }
}
