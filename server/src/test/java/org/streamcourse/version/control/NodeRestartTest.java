package org.streamcourse.version.control;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.NoDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A node without a data folder restarts while replies to its heartbeats are on their way. */
public class NodeRestartTest {
  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final List<NodeHeartbeat> sent = new ArrayList<>();

  private long starts;

  private NodeAgent start() {
    sent.clear();
    starts++;
    NodeAgent agent =
        new NodeAgent(
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> sent.add((NodeHeartbeat) message),
            new NoDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            List.of("c1:1"),
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false),
            starts << Integer.SIZE);
    agent.start();
    clock.advanceTimeBy(Duration.ofMillis(1));
    return agent;
  }

  private static void answer(NodeAgent agent, NodeHeartbeat heartbeat) {
    agent.receive("c1:1", new HeartbeatReply(heartbeat.sequence(), null, null, false));
  }

  /** Guards against a node that counts as confirmed by a reply to its former run. */
  @Test
  public void aReplyToTheFormerRunConfirmsNothing() {
    NodeAgent former = start();
    NodeHeartbeat ofFormerRun = sent.get(0);
    former.stop();
    NodeAgent present = start();
    answer(present, ofFormerRun);
    assertFalse(present.isConfirmed(), "confirmed by a reply to the former run");
    answer(present, sent.get(0));
    assertTrue(present.isConfirmed());
  }
}
