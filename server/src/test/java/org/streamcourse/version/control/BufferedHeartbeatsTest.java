package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * After a loss of all power, each node asks all six controllers for what is stored, each 120 ms;
 * the image crosses regions only for nodes that their own region does not give one.
 */
public class BufferedHeartbeatsTest {
  private static final long ASK_MILLIS = 120;
  private static final Placement HERE = new Placement("r1", "r1-a");
  private static final Placement NEAR = new Placement("r1", "r1-b");
  private static final Placement FAR = new Placement("r2", "r2-a");

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final List<Long> sentAt = new ArrayList<>();

  private List<Long> timesTold(Placement controller, Placement node, int heartbeats) {
    sentAt.clear();
    SchedulerWorker worker = SchedulerWorker.onSchedulerClock(clock);
    long start = worker.now();
    BufferedHeartbeats bufferedHeartbeats =
        new BufferedHeartbeats(worker, (peer, message) -> sentAt.add(worker.now() - start));
    bufferedHeartbeats.setPlacement(controller);
    bufferedHeartbeats.started();
    RoutingDocument document =
        new RoutingDocument(1, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "v1");
    ClusterImage stored = ClusterImage.EMPTY.apply(new ClusterChange.DocumentReplaced(document));
    for (int i = 0; i < heartbeats; i++) {
      NodeImage self = new NodeImage("n:1", 1, "n", 1, node, false);
      bufferedHeartbeats.heard(
          "n:1", new NodeHeartbeat(self, i + 1, 0, 0, false, 0, true, List.of()), stored);
      clock.advanceTimeBy(Duration.ofMillis(ASK_MILLIS));
    }
    return List.copyOf(sentAt);
  }

  @Test
  public void aNodeOfTheOwnRegionIsToldAtOnceAndNotWithEachHeartbeat() {
    assertEquals(timesTold(HERE, NEAR, 6), List.of(0L, 480L));
  }

  @Test
  public void aNodeOfAnotherRegionIsToldOnlyWhenItGoesOnAsking() {
    assertEquals(timesTold(HERE, FAR, 3), List.of());
    assertEquals(timesTold(HERE, FAR, 4), List.of(360L));
  }

  @Test
  public void aControllerThatDoesNotKnowItsPlacementTellsAll() {
    assertEquals(timesTold(null, FAR, 1), List.of(0L));
  }
}
