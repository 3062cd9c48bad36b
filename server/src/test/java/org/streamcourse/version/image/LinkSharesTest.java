package org.streamcourse.version.image;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How the connections that members accept are divided among nodes. */
public class LinkSharesTest {
  private static final String SERVICE = "s";
  private static final int REGIONS = 3;
  private static final RegisteredMember MEMBER =
      new RegisteredMember(new MemberId("i-1"), "10.9.0.1", 1, "zone-0-0", 3, false);

  private static NodeImage node(int number, int zonesOfRegion) {
    int region = number % REGIONS;
    int zone = number / REGIONS % zonesOfRegion;
    Placement placement = new Placement("region-" + region, "zone-" + region + '-' + zone);
    return new NodeImage("10.0.0." + number + ":1", 1, "10.0.0." + number, 1, placement, false);
  }

  private static final TenantRule TENANT =
      new TenantRule(new TenantId("t"), List.of(), 1, TenantRule.UNLIMITED, 0);

  private static ClusterImage image(int nodes, int zonesOfRegion, int connections) {
    return image(nodes, zonesOfRegion, connections, List.of(TENANT));
  }

  private static ClusterImage image(
      int nodes, int zonesOfRegion, int connections, List<TenantRule> tenants) {
    RouteRule route =
        new RouteRule("d", SERVICE, RouteConsistency.SESSION, 800, 1_000, 1, 2, 2_500, false);
    RoutingDocument document =
        new RoutingDocument(
            1,
            List.of(route),
            List.of(new ServiceRules(SERVICE, connections, 0)),
            SessionLimits.DEFAULT,
            tenants,
            "");
    ClusterImage image = ClusterImage.EMPTY.apply(new ClusterChange.DocumentReplaced(document));
    for (int number = 0; number < nodes; number++) {
      image = image.apply(new ClusterChange.NodeAdmitted(node(number, zonesOfRegion)));
    }
    return image;
  }

  private static LinkShare share(ClusterImage image, String node) {
    return new LinkShares(image).of(SERVICE, MEMBER, node);
  }

  private static Set<String> holders(ClusterImage image) {
    Set<String> found = new TreeSet<>(image.nodes().keySet());
    found.removeIf(node -> share(image, node).links() == 0);
    return found;
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {1, 1, 2}, {2, 1, 2}, {7, 1, 40}, {9, 1, 23}, {9, 1, 5}, {70, 2, 53}, {670, 2, 40}
    };
  }

  @Test(dataProvider = "fleets")
  public void sharesStayWithinTheLimitAndSomeNodeHasLinks(int nodes, int zones, int connections) {
    ClusterImage image = image(nodes, zones, connections);
    int links = image.nodes().keySet().stream().mapToInt(node -> share(image, node).links()).sum();
    assertTrue(links >= 1 && links < connections, links + " links of " + connections);
  }

  @Test
  public void scarceConnectionsAreHeldByAFewNodesInTheMembersZone() {
    ClusterImage image = image(70, 2, 53);
    Set<String> holders = holders(image);
    assertEquals(holders.size(), 3);
    int owned = 0;
    assertEquals(new LinkShares(image).designatedHolders(SERVICE, MEMBER).orElseThrow(), holders);
    for (String holder : holders) {
      assertEquals(image.nodes().get(holder).placement().zone(), MEMBER.zone());
      boolean owns = share(image, holder).role() == LinkShare.Role.OWNER;
      assertEquals(share(image, holder).links(), owns ? 41 : 5);
      owned += owns ? 1 : 0;
    }
    assertEquals(owned, 1, "one node assigns the member's slots");
    for (String node : image.nodes().keySet()) {
      Set<String> others = new HashSet<>(holders);
      others.remove(node);
      assertEquals(new HashSet<>(share(image, node).holders()), others);
      assertEquals(share(image, node).slots(), MEMBER.slots());
    }
  }

  /**
   * Without tenants all connections are interchangeable, so no owner has to assign them, and a
   * single owner is slow: its code is not compiled in the first second after a start, and it alone
   * runs all statements that were queued while the member was unreachable. With 103 nodes and 18
   * members, in the first second after a power loss of all nodes, owners refused some 1,750
   * statements for lack of a slot or connection and 740 timed out; with equal shares 133 were
   * refused and 190 timed out.
   */
  @Test
  public void withoutTenantsHoldersHaveEqualSharesAndOneShareIsSpare() {
    ClusterImage image = image(103, 2, 79, List.of());
    Set<String> holders = holders(image);
    assertEquals(holders.size(), 4);
    assertEquals(new LinkShares(image).designatedHolders(SERVICE, MEMBER).orElseThrow(), holders);
    Set<String> firstChoices = new HashSet<>();
    for (String node : image.nodes().keySet()) {
      LinkShare share = share(image, node);
      assertEquals(share.role(), LinkShare.Role.SHARER, node);
      assertEquals(share.slots(), 0, "slots are not counted");
      assertEquals(share.links(), holders.contains(node) ? 78 / 5 : 0);
      firstChoices.add(share.holders().get(0));
    }
    assertEquals(firstChoices, holders, "each holder is the first choice of some nodes");
  }

  @Test
  public void allNodesTryTheOwnerFirst() {
    ClusterImage image = image(70, 2, 53);
    for (String node : image.nodes().keySet()) {
      LinkShare share = share(image, node);
      if (share.role() != LinkShare.Role.OWNER) {
        String first = share.holders().get(0);
        assertEquals(share(image, first).role(), LinkShare.Role.OWNER, node);
      }
    }
  }

  @Test
  public void aLostNodeChangesOneHolderAtMost() {
    ClusterImage before = image(70, 2, 53);
    for (NodeImage lost : before.nodes().values()) {
      Set<String> after =
          holders(before.apply(new ClusterChange.NodeRemoved(lost.name(), lost.incarnation())));
      after.removeAll(holders(before));
      assertTrue(after.size() <= 1, "new holders " + after);
    }
  }

  @Test
  public void sufficientConnectionsAreSharedEquallyByAllNodes() {
    ClusterImage image = image(7, 1, 40);
    for (String node : image.nodes().keySet()) {
      assertEquals(share(image, node).links(), 5);
    }
    assertTrue(new LinkShares(image).designatedHolders(SERVICE, MEMBER).isEmpty());
  }
}
