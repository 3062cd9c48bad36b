package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.GroupRules;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.testng.annotations.Test;

/**
 * Guards against: allowances that were reduced are never increased again when only heartbeats
 * follow and no new version of the image.
 */
public class NodeAdmissionTest {
  private static final String GROUP = "bookings";
  private static final Placement PLACEMENT = new Placement("r", "z");
  private static final long VERSION = 7;

  private final List<ClusterChange> proposed = new ArrayList<>();

  private final GroupSupervisor.Actions actions =
      new GroupSupervisor.Actions() {
        @Override
        public long now() {
          return 1_000;
        }

        @Override
        public long nextOrderId() {
          return 1;
        }

        @Override
        public void sendOrder(String gateway, MemberOrder order) {
          throw new AssertionError("admission sends no orders");
        }

        @Override
        public void propose(ClusterChange change) {
          proposed.add(change);
        }

        @Override
        public void decided(
            Decision.Kind kind, String subject, String cause, String inputs, String outcome) {
          // Not checked.
        }
      };

  private static NodeImage node(String name) {
    return new NodeImage(name, 1, "127.0.0.1", 1, PLACEMENT, false);
  }

  private static ClusterImage image(List<Allowance> allowances) {
    MemberImage member = new MemberImage("m1", "127.0.0.1", 1, PLACEMENT, 8, 4, false, allowances);
    GroupImage group = new GroupImage(GROUP, 1, "m1", List.of(member), GroupRules.DEFAULT);
    return new ClusterImage(
        VERSION,
        1,
        new TreeMap<>(Map.of(GROUP, group)),
        new TreeMap<>(Map.of("p1", node("p1"), "p2", node("p2"))));
  }

  private static NodeHeartbeat heartbeat(String name, long heldVersion) {
    return new NodeHeartbeat(node(name), 1, VERSION, heldVersion, false, 0, true, List.of());
  }

  @Test
  public void reducedAllowancesAreIncreasedOnceNodesKeepToThemThoughNoVersionFollows() {
    NodeRegistry registry = new NodeRegistry();
    NodeAdmission admission =
        new NodeAdmission(ControlSettings.DEFAULT, registry, node -> false, actions);
    admission.restart(0);
    List<String> gateways =
        AllowancePlanner.chooseGateways(
                GROUP, image(List.of()).group(GROUP).orElseThrow().members().get(0), nodes())
            .stream()
            .map(NodeImage::name)
            .toList();
    List<Allowance> reduced = gateways.stream().map(name -> new Allowance(name, 0, 0)).toList();
    gateways.forEach(name -> registry.onHeartbeat(heartbeat(name, VERSION - 1), 900, true));
    admission.check(image(reduced));
    assertEquals(
        proposed, List.of(), "the nodes may still have connections above the reduced allowances");
    gateways.forEach(name -> registry.onHeartbeat(heartbeat(name, VERSION), 950, true));
    admission.check(image(reduced));
    assertEquals(
        proposed,
        List.of(
            new ClusterChange.AllowancesSet(
                GROUP,
                "m1",
                List.of(
                    new Allowance(gateways.get(0), 4, 2), new Allowance(gateways.get(1), 4, 2)))));
  }

  private static List<NodeImage> nodes() {
    return List.of(node("p1"), node("p2"));
  }
}
