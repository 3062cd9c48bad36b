package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.LargeDocument;
import org.streamcourse.version.image.RoutingDocument;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against controllers whose memory grows with each change of a large document until none is
 * left and no change is acknowledged any more.
 */
public class LargeDocumentsTest {
  private static final int NODES = 6;
  private static final int ROUTES = 700;

  /** A small heap, in which some 60 whole documents would fit. */
  private static final MemoryLimits LIMITS = new MemoryLimits(16L * 1024 * 1024);

  private static final long INTERVAL_MILLIS = 60;
  private static final long SETTLE_MILLIS = 10_000;

  private final Set<Long> acknowledged = new HashSet<>();
  private ControlFleet fleet;
  private LargeDocument versions;
  private RoutingDocument newest;

  @BeforeMethod
  public void startFleet() {
    acknowledged.clear();
    fleet = new ControlFleet(NODES, LIMITS);
    fleet.start();
    fleet.advance(SETTLE_MILLIS);
    versions = new LargeDocument(ROUTES);
    newest = versions.addRoute();
  }

  /** Sends versions to one controller after the other and checks the limits at all controllers. */
  private void send(int count, LongFunction<RoutingDocument> next) {
    for (int i = 0; i < count; i++) {
      RoutingDocument document = next.apply(i);
      newest = document;
      int controller = i % fleet.controllerNames().size();
      fleet.call(
          controller,
          new ServiceCall.ReplaceDocument(document),
          result -> {
            if (result.status() == ServiceCall.Status.DONE) {
              acknowledged.add(document.version());
            }
          });
      fleet.advance(INTERVAL_MILLIS);
      fleet.controllers().forEach(LargeDocumentsTest::assertWithinLimits);
    }
  }

  private static void assertWithinLimits(String name, ControllerNode controller) {
    ControllerMemory memory = controller.memory();
    assertAtMost(
        name + ", recent changes", memory.recentChangesBytes(), LIMITS.recentChangesBytes());
    long entries =
        Math.max(LIMITS.logBytes(), memory.snapshotBytes()) + 2L * LIMITS.documentBytes();
    assertAtMost(name + ", log", memory.logBytes(), entries);
    assertAtMost(name + ", snapshot", memory.snapshotBytes(), 2L * LIMITS.documentBytes());
    assertAtMost(name + ", waiting calls", memory.waitingCallBytes(), LIMITS.callsBytes());
  }

  private static void assertAtMost(String what, long bytes, long limit) {
    assertTrue(bytes <= limit, what + ": " + bytes + " bytes, limit " + limit);
  }

  private void assertNewestEverywhere() {
    fleet.advance(SETTLE_MILLIS);
    for (ControllerNode controller : fleet.controllers().values()) {
      assertEquals(controller.controller().image().document(), newest);
    }
    for (NodeAgent node : fleet.nodes().values()) {
      assertEquals(node.image().document(), newest.withoutSource());
    }
  }

  private String follower() {
    return fleet.controllerNames().stream()
        .filter(each -> !each.equals(fleet.leader()))
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void manyVersionsWithAFollowerAndANodeGone() {
    fleet.links().isolate(follower());
    fleet.links().isolate(fleet.nodes().keySet().iterator().next());
    send(800, i -> i % 5 == 0 ? versions.addRoute() : versions.changeRoute((int) (i % ROUTES)));
    fleet.links().heal();
    assertNewestEverywhere();
    assertTrue(acknowledged.size() >= 650, acknowledged.size() + " of 800 acknowledged");
  }

  @Test
  public void versionsWithNothingInCommon() {
    fleet.links().isolate(follower());
    send(150, i -> versions.changeAllRoutes());
    fleet.links().heal();
    assertNewestEverywhere();
  }

  @Test
  public void versionsWhileLeadersChange() {
    for (int i = 0; i < 4; i++) {
      fleet.links().isolate(fleet.leader());
      send(60, each -> versions.changeRoute((int) each));
      fleet.links().heal();
      fleet.advance(SETTLE_MILLIS);
      send(20, each -> versions.changeRoute((int) each));
      assertTrue(acknowledged.contains(newest.version() - 5), "the newest leader acknowledges");
    }
    assertNewestEverywhere();
  }

  /** Guards against changes of one route that cost a document on each link between controllers. */
  @Test
  public void aChangedRouteIsSentAsItsDifference() {
    send(1, i -> newest);
    fleet.advance(SETTLE_MILLIS);
    long before = fleet.sum(counter -> counter.kind().contains("AppendRequest"));
    int changes = 50;
    send(changes, i -> versions.changeRoute((int) i));
    long bytes = fleet.sum(counter -> counter.kind().contains("AppendRequest")) - before;
    int followers = List.copyOf(fleet.controllers().keySet()).size() - 1;
    long each = bytes / changes / followers;
    assertTrue(each < 1_500, each + " bytes to each follower for a change of one route");
  }

  @Test
  public void theLargestDocumentsOfAllDeploymentsFitTwice() {
    LargeDocument largest = new LargeDocument(2_800);
    int bytes = largest.addRoute().source().length();
    assertTrue(2 * bytes < MemoryLimits.DEFAULT.documentBytes(), bytes + " bytes");
  }
}
