package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Heartbeats of a starting node without an image, and the repetition of lost reports. */
public class NodeAgentTest {
  private static final List<String> CONTROLLERS = List.of("c1:1", "c2:1", "c3:1");
  private static final long TWO_ROUNDS_MILLIS = 130;

  @Test
  public void aNodeWithoutAnImageSendsHeartbeatsToAllControllersOften() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<String> receivers = new ArrayList<>();
    NodeAgent agent =
        new NodeAgent(
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> receivers.add(peer),
            new MemoryDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            CONTROLLERS,
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false));
    agent.start();
    clock.advanceTimeBy(Duration.ofMillis(TWO_ROUNDS_MILLIS));
    for (String controller : CONTROLLERS) {
      int times = Collections.frequency(receivers, controller);
      assertTrue(times >= 2, controller + " received " + times + " heartbeats");
    }
  }

  @Test
  public void aReportInALostHeartbeatIsSentAgainThoughAnEarlierHeartbeatIsAnswered() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<NodeHeartbeat> sent = new ArrayList<>();
    NodeAgent agent =
        new NodeAgent(
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> sent.add((NodeHeartbeat) message),
            new MemoryDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            List.of("c1:1"),
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false));
    agent.start();
    answer(agent, last(sent));
    clock.advanceTimeBy(Duration.ofMillis(ControlSettings.DEFAULT.heartbeatMillis()));
    NodeHeartbeat earlier = last(sent);
    MemberStatus status =
        new MemberStatus(
            1, MemberRole.REPLICA, "", TermPosition.ZERO, TermPosition.ZERO, TermPosition.ZERO);
    MemberReport report = new MemberReport("s", "m", false, status);
    agent.report(report, true);
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertEquals(last(sent).reports(), List.of(report), "sent at once, and lost");
    answer(agent, earlier);
    clock.advanceTimeBy(Duration.ofMillis(ControlSettings.DEFAULT.heartbeatMillis()));
    assertEquals(last(sent).reports(), List.of(report));
    answer(agent, last(sent));
    clock.advanceTimeBy(Duration.ofMillis(ControlSettings.DEFAULT.heartbeatMillis()));
    assertEquals(last(sent).reports(), List.of(), "confirmed");
  }

  private static NodeHeartbeat last(List<NodeHeartbeat> sent) {
    return sent.get(sent.size() - 1);
  }

  private static void answer(NodeAgent agent, NodeHeartbeat heartbeat) {
    agent.receive("c1:1", new HeartbeatReply(heartbeat.sequence(), null, null, false));
  }
}
