package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
 * After a power loss of all machines, each node without an image sends a heartbeat to all six
 * controllers each 120 ms. Guards against stored images sent between regions to nodes that their
 * own region can serve, and against an image for each heartbeat.
 */
public class BufferedHeartbeatsTest {
  private static final long HEARTBEAT_MILLIS = 120;
  private static final Placement HERE = new Placement("r1", "r1-a");
  private static final Placement NEAR = new Placement("r1", "r1-b");
  private static final Placement FAR = new Placement("r2", "r2-a");

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final List<Long> sentAt = new ArrayList<>();

  private List<Long> imageTimes(Placement controller, Placement node, int heartbeats) {
    sentAt.clear();
    SchedulerWorker worker = SchedulerWorker.onSchedulerClock(clock);
    long start = worker.now();
    BufferedHeartbeats bufferedHeartbeats =
        new BufferedHeartbeats(worker, (peer, message) -> sentAt.add(worker.now() - start));
    bufferedHeartbeats.setPlacement(controller);
    bufferedHeartbeats.onStart();
    RoutingDocument document =
        new RoutingDocument(1, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "v1");
    ClusterImage stored = ClusterImage.EMPTY.apply(new ClusterChange.DocumentReplaced(document));
    for (int i = 0; i < heartbeats; i++) {
      NodeImage self = new NodeImage("n:1", 1, "n", 1, node, false);
      bufferedHeartbeats.add(
          "n:1", new NodeHeartbeat(self, i + 1, 0, 0, false, 0, true, List.of()), stored);
      clock.advanceTimeBy(Duration.ofMillis(HEARTBEAT_MILLIS));
    }
    return List.copyOf(sentAt);
  }

  @Test
  public void aNodeOfTheSameRegionGetsTheImageAtOnceButNotForEachHeartbeat() {
    assertEquals(imageTimes(HERE, NEAR, 6), List.of(0L, 480L));
  }

  @Test
  public void aNodeOfAnotherRegionGetsTheImageOnlyAfterFurtherHeartbeats() {
    assertEquals(imageTimes(HERE, FAR, 3), List.of());
    assertEquals(imageTimes(HERE, FAR, 4), List.of(360L));
  }

  @Test
  public void aControllerWithoutAPlacementSendsTheImageToAllRegions() {
    assertEquals(imageTimes(null, FAR, 1), List.of(0L));
  }

  /** Guards against a new leader that takes a node's reports of long ago for present ones. */
  @Test
  public void aHeartbeatOfLongAgoIsNotHandledByANewLeader() {
    SchedulerWorker worker = SchedulerWorker.onSchedulerClock(clock);
    BufferedHeartbeats bufferedHeartbeats =
        new BufferedHeartbeats(worker, (peer, message) -> sentAt.add(worker.now()));
    add(bufferedHeartbeats, "early:1");
    clock.advanceTimeBy(Duration.ofSeconds(10));
    add(bufferedHeartbeats, "late:1");
    clock.advanceTimeBy(Duration.ofSeconds(1));
    assertEquals(bufferedHeartbeats.take().keySet(), Set.of("late:1"));
  }

  private static void add(BufferedHeartbeats bufferedHeartbeats, String node) {
    NodeImage self = new NodeImage(node, 1, "n", 1, NEAR, false);
    bufferedHeartbeats.add(
        node, new NodeHeartbeat(self, 1, 1, 0, false, 0, true, List.of()), ClusterImage.EMPTY);
  }
}
