package org.streamcourse.connection.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.testng.annotations.Test;

/**
 * All nodes prefer the same holder of a member's connections for a tenant, and the tenants are
 * spread over all holders.
 */
public class HolderOrderTest {
  private static final MemberId MEMBER = new MemberId("i-1");
  private static final List<String> HOLDERS = List.of("a", "b", "c", "d");
  private static final List<String> OTHER_ORDER = List.of("c", "a", "d", "b");

  @Test
  public void allNodesPreferTheSameHolderForATenant() {
    Map<String, Integer> first = new HashMap<>();
    for (int i = 0; i < 72; i++) {
      TenantId tenant = new TenantId("t" + i);
      List<String> order = HolderOrder.of(HOLDERS, MEMBER, tenant);
      assertEquals(HolderOrder.of(OTHER_ORDER, MEMBER, tenant), order);
      first.merge(order.get(0), 1, Integer::sum);
    }
    assertEquals(first.size(), HOLDERS.size());
    first.forEach((holder, count) -> assertTrue(count >= 9, holder + " has " + count + " of 72"));
  }

  @Test
  public void theHoldersOfATenantDifferBetweenMembers() {
    Set<String> first = new HashSet<>();
    for (int i = 0; i < 18; i++) {
      first.add(HolderOrder.of(HOLDERS, new MemberId("i-" + i), new TenantId("t")).get(0));
    }
    assertEquals(first.size(), HOLDERS.size());
  }

  @Test
  public void withoutATenantTheGivenOrderIsKept() {
    assertEquals(HolderOrder.of(OTHER_ORDER, MEMBER, TenantId.NONE), OTHER_ORDER);
  }
}
