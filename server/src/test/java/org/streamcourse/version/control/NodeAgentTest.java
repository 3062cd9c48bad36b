package org.streamcourse.version.control;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Place;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** How a node that starts finds a controller that knows what is agreed. */
public class NodeAgentTest {
  private static final List<String> CONTROLLERS = List.of("c1:1", "c2:1", "c3:1");
  private static final long TWO_ROUNDS_MILLIS = 130;

  @Test
  public void aNodeWithoutAnImageAsksAllControllersOften() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<String> asked = new ArrayList<>();
    NodeAgent agent =
        new NodeAgent(
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> asked.add(peer),
            new MemoryDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            CONTROLLERS,
            new NodeImage("n:1", 1, "n", 1, new Place("r", "z"), false));
    agent.start();
    clock.advanceTimeBy(Duration.ofMillis(TWO_ROUNDS_MILLIS));
    for (String controller : CONTROLLERS) {
      int times = Collections.frequency(asked, controller);
      assertTrue(times >= 2, controller + " was asked " + times + " times");
    }
  }
}
