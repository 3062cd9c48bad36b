package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.testng.annotations.Test;

/**
 * Gateways are chosen near their member, change little when a node is added, and never get
 * allowances above the member's limits.
 */
public class AllowancePlannerTest {
  private static final int CONNECTIONS = 41;
  private static final int SLOTS = 5;

  private static NodeImage node(int number, String zone) {
    return new NodeImage("p" + number, 1, "127.0.0.1", number, new Placement("r1", zone), false);
  }

  private static MemberImage member(String name, List<Allowance> allowances) {
    Placement placement = new Placement("r1", "z1");
    return new MemberImage(name, "127.0.0.1", 1, placement, CONNECTIONS, SLOTS, false, allowances);
  }

  @Test
  public void prefersTheMembersOwnZone() {
    List<NodeImage> nodes = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      nodes.add(node(i, i < 2 ? "z1" : "z2"));
    }
    List<NodeImage> chosen = AllowancePlanner.chooseGateways("g", member("m", List.of()), nodes);
    assertTrue(chosen.stream().allMatch(each -> each.placement().zone().equals("z1")));
  }

  @Test
  public void aNewNodeMovesOnlyTheAllowancesItGains() {
    List<NodeImage> before = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      before.add(node(i, "z1"));
    }
    List<NodeImage> after = new ArrayList<>(before);
    after.add(node(20, "z1"));
    int moved = 0;
    for (int i = 0; i < 500; i++) {
      MemberImage member = member("m" + i, List.of());
      List<NodeImage> old = AllowancePlanner.chooseGateways("g", member, before);
      List<NodeImage> now = AllowancePlanner.chooseGateways("g", member, after);
      List<NodeImage> kept = new ArrayList<>(now);
      kept.remove(after.get(20));
      assertTrue(old.containsAll(kept), "no allowance moves between nodes that were there before");
      moved += now.size() - kept.size();
    }
    assertTrue(moved > 20 && moved < 90, "1000 allowances on 21 nodes, so about 48 move: " + moved);
  }

  @Test
  public void allowancesNeverExceedTheLimitsWhileTheyMove() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    List<Allowance> held = List.of();
    for (int step = 0; step < 2_000; step++) {
      List<NodeImage> chosen = new ArrayList<>();
      for (int i = 0; i < 5 && chosen.size() < 2; i++) {
        if (random.nextInt(3) > 0) {
          chosen.add(node(i, "z1"));
        }
      }
      boolean released = random.nextBoolean();
      List<Allowance> before = held;
      Optional<List<Allowance>> next =
          AllowancePlanner.plan(member("m", held), chosen, allowance -> released);
      held = next.orElse(held);
      assertTrue(held.stream().mapToInt(Allowance::connections).sum() <= CONNECTIONS);
      assertTrue(held.stream().mapToInt(Allowance::slots).sum() <= SLOTS);
      if (!released) {
        assertNoAllowanceGrows(before, held);
      }
    }
  }

  /** Until all nodes keep to their reduced allowances, allowances may only decrease. */
  private static void assertNoAllowanceGrows(List<Allowance> before, List<Allowance> after) {
    if (before.isEmpty()) {
      return;
    }
    assertEquals(after.size(), before.size());
    for (int i = 0; i < before.size(); i++) {
      assertTrue(after.get(i).connections() <= before.get(i).connections());
      assertTrue(after.get(i).slots() <= before.get(i).slots());
    }
  }
}
