package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
import org.testng.annotations.Test;

/** The newest changes are kept up to a limit in bytes. */
public class RecentChangesTest {
  private static final int LIMIT_BYTES = 1_000_000;

  private static ClusterChange change(long number) {
    return new ClusterChange.NodeRemoved("node-" + number, number);
  }

  /** Guards against a history of some hundred large changes that fills the heap. */
  @Test
  public void largeChangesStayWithinTheLimit() {
    RecentChanges changes = new RecentChanges(LIMIT_BYTES);
    for (int i = 1; i <= 2_000; i++) {
      changes.add(change(i), 50_000);
      assertTrue(changes.bytes() <= LIMIT_BYTES, changes.bytes() + " bytes");
    }
    assertTrue(changes.size() >= 3, changes.size() + " changes");
    assertEquals(
        changes.since(1_998, 2_000),
        Optional.of(new ClusterDelta(1_998, List.of(change(1_999), change(2_000)))));
    assertEquals(changes.since(2_000 - changes.size() - 1, 2_000), Optional.empty());
  }

  @Test
  public void aChangeOverTheLimitIsNotKept() {
    RecentChanges changes = new RecentChanges(LIMIT_BYTES);
    changes.add(change(1), 100);
    changes.add(change(2), LIMIT_BYTES);
    assertEquals(changes.bytes(), 0);
    assertEquals(changes.since(1, 2), Optional.empty());
    assertEquals(changes.since(2, 2), Optional.of(new ClusterDelta(2, List.of())));
  }

  @Test
  public void smallChangesAreKeptByTheThousand() {
    RecentChanges changes = new RecentChanges(LIMIT_BYTES);
    for (int i = 1; i <= 2_000; i++) {
      changes.add(change(i), 60);
    }
    assertEquals(changes.size(), 2_000);
  }
}
