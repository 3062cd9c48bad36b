package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.QuotaPlan.Need;
import org.streamcourse.version.control.QuotaPlan.Share;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.QuotaGrant;
import org.streamcourse.version.image.QuotaHolder;
import org.streamcourse.version.image.TenantId;
import org.testng.annotations.Test;

/** Division of a limit among nodes, and the table of agreed shares. */
public class QuotaPlanTest {
  private static final TenantId TENANT = new TenantId("t");

  private static QuotaHolder holder(int number) {
    return new QuotaHolder("n" + number, 1);
  }

  private static Need need(int number, int operations, int used, int waiting) {
    return new Need(holder(number), operations, used, waiting);
  }

  @Test
  public void sharesNeverExceedTheLimit() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    for (int round = 0; round < 10_000; round++) {
      int budget = random.nextInt(200);
      int left = budget;
      List<Need> needs = new ArrayList<>();
      int nodes = 1 + random.nextInt(70);
      for (int i = 0; i < nodes; i++) {
        int operations = random.nextInt(Math.max(1, left / 2));
        left -= operations;
        int used = operations == 0 ? 0 : random.nextInt(operations);
        needs.add(need(i, operations, used, random.nextInt(10)));
      }
      int reserved = random.nextInt(left + 1);
      long sum = reserved;
      List<Share> shares = QuotaPlan.divide(budget, reserved, needs);
      for (int i = 0; i < nodes; i++) {
        sum += shares.get(i).operations();
        assertTrue(shares.get(i).operations() >= needs.get(i).operations());
      }
      assertTrue(sum <= budget, sum + " of " + budget);
    }
  }

  @Test
  public void whileLittleIsAssignedSharesIncludeHeadroom() {
    List<Share> shares = QuotaPlan.divide(1_000, 0, List.of(need(1, 0, 30, 2), need(2, 0, 0, 1)));
    assertTrue(shares.get(0).operations() > 32);
    assertTrue(shares.get(1).operations() > 1);
    assertFalse(shares.get(0).exhausted());
  }

  @Test
  public void aTenantAboveItsLimitIsServedFairly() {
    List<Share> shares = QuotaPlan.divide(96, 0, List.of(need(1, 95, 95, 200), need(2, 0, 0, 3)));
    assertEquals(shares.get(1).operations(), 1, "the unassigned rest of the limit");
    assertEquals(
        shares.get(0).ceiling(),
        93,
        "the node with the large share releases what the other one needs");
    assertTrue(shares.get(0).exhausted());
    assertFalse(shares.get(1).exhausted());
  }

  @Test
  public void aRestoredTableAppliesChangesLikeTheOriginal() {
    QuotaTable table = new QuotaTable();
    table.apply(
        table.describe(
            List.of(
                new QuotaGrant(TENANT, holder(1), 0, 4), new QuotaGrant(TENANT, holder(2), 0, 6))));
    MessageCodec codec = StreamTypes.codec();
    QuotaTable restored = new QuotaTable();
    restored.restore((QuotaTable.Stored) codec.decode(codec.encode(table.stored())));
    assertEquals(restored.of(TENANT), table.of(TENANT));
    ClusterChange.QuotaGranted change =
        restored.describe(List.of(new QuotaGrant(TENANT, holder(1), 0, 0)));
    ClusterChange.QuotaGranted sent =
        (ClusterChange.QuotaGranted) codec.decode(codec.encode(change));
    assertEquals(table.apply(sent).size(), 1);
    assertEquals(restored.apply(sent).size(), 1);
    assertEquals(restored.of(TENANT), table.of(TENANT));
    assertEquals(restored.of(TENANT).keySet(), java.util.Set.of(holder(2)));
  }

  /**
   * A change refers to tenants and holders by their index, so it is invalid once another change has
   * been applied.
   */
  @Test
  public void aChangeBasedOnAnOlderTableHasNoEffect() {
    QuotaTable table = new QuotaTable();
    ClusterChange.QuotaGranted first =
        table.describe(List.of(new QuotaGrant(TENANT, holder(1), 0, 4)));
    ClusterChange.QuotaGranted second =
        table.describe(List.of(new QuotaGrant(TENANT, holder(2), 0, 5)));
    assertEquals(table.apply(first).size(), 1);
    assertEquals(table.apply(second).size(), 0);
    assertEquals(table.of(TENANT).keySet(), java.util.Set.of(holder(1)));
  }
}
