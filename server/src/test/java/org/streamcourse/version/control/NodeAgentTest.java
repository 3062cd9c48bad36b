package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.ImagePush;
import org.streamcourse.version.control.ControlMessage.LeaderHint;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
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
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false),
            0);
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
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false),
            0);
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

  private static ClusterChange admitted(int number) {
    String name = "n" + number + ":1";
    return new ClusterChange.NodeAdmitted(
        new NodeImage(name, 1, "n" + number, 1, new Placement("r", "z"), false));
  }

  private static ClusterDelta delta(long fromVersion, int changes) {
    List<ClusterChange> added = new ArrayList<>();
    for (int i = 1; i <= changes; i++) {
      added.add(admitted((int) fromVersion + i));
    }
    return new ClusterDelta(fromVersion, added);
  }

  private static NodeAgent started(VirtualTimeScheduler clock, List<NodeHeartbeat> sent) {
    NodeAgent agent =
        new NodeAgent(
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> sent.add((NodeHeartbeat) message),
            new MemoryDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            List.of("c1:1"),
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false),
            0);
    agent.start();
    return agent;
  }

  private static void reply(NodeAgent agent, NodeHeartbeat heartbeat, ClusterDelta delta) {
    agent.receive("c1:1", new HeartbeatReply(heartbeat.sequence(), delta, null, false));
  }

  /** Guards against a node that counts as up to date although it lacks a change. */
  @Test
  public void aReplyWhoseChangesDoNotFitDoesNotConfirmTheImage() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<NodeHeartbeat> sent = new ArrayList<>();
    NodeAgent agent = started(clock, sent);
    reply(agent, last(sent), delta(2, 1));
    assertFalse(agent.isConfirmed(), "versions 1 and 2 are missing");
    int before = sent.size();
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertTrue(sent.size() > before, "asks for them at once");
    reply(agent, last(sent), delta(0, 3));
    assertTrue(agent.isConfirmed());
    assertEquals(agent.image().version(), 3);
  }

  /** Guards against a change that waits for the next heartbeat since a push overlaps a reply. */
  @Test
  public void aPushThatOverlapsAReplyBringsTheRest() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<NodeHeartbeat> sent = new ArrayList<>();
    NodeAgent agent = started(clock, sent);
    reply(agent, last(sent), delta(0, 2));
    agent.receive("c1:1", new ImagePush(delta(1, 3)));
    assertEquals(agent.image().version(), 4);
    assertEquals(agent.image().nodes().size(), 4);
    agent.receive("c1:1", new ImagePush(delta(1, 2)));
    assertEquals(agent.image().version(), 4, "an older push changes nothing");
  }

  private record Sent(String controller, NodeHeartbeat heartbeat) {}

  private static NodeAgent started(
      VirtualTimeScheduler clock, List<String> seeds, List<Sent> sent) {
    NodeAgent agent =
        new NodeAgent(
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> sent.add(new Sent(peer, (NodeHeartbeat) message)),
            new MemoryDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            seeds,
            new NodeImage("n:1", 1, "n", 1, new Placement("r", "z"), false),
            0);
    agent.start();
    return agent;
  }

  /** Answers the newest heartbeat as the leader {@code z}, the last of three controllers. */
  private static void answerAsLastController(NodeAgent agent, List<Sent> sent) {
    agent.receive("z:1", new LeaderHint("z:1"));
    long sequence = sent.get(sent.size() - 1).heartbeat().sequence();
    agent.receive(
        "z:1",
        new HeartbeatReply(sequence, delta(0, 1), null, false, List.of("a:1", "b:1", "z:1")));
  }

  /** Guards against changes that come late since a node tries seeds that are gone for long. */
  @Test
  public void controllersNamedByALeaderAreTriedBeforeSeeds() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<Sent> sent = new ArrayList<>();
    NodeAgent agent = started(clock, List.of("gone1:1", "gone2:1", "gone3:1"), sent);
    answerAsLastController(agent, sent);
    clock.advanceTimeBy(Duration.ofMillis(10));
    sent.clear();
    clock.advanceTimeBy(Duration.ofMillis(2_000));
    List<String> tried = sent.stream().map(Sent::controller).distinct().toList();
    assertEquals(tried, List.of("z:1", "a:1"));
  }

  /** Guards against changes that come late since a node waits for a leader that is gone. */
  @Test
  public void aPushShowsWhichControllerLeads() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<Sent> sent = new ArrayList<>();
    NodeAgent agent = started(clock, List.of("a:1", "b:1", "z:1"), sent);
    answerAsLastController(agent, sent);
    clock.advanceTimeBy(Duration.ofMillis(10));
    sent.clear();
    agent.receive("b:1", new ImagePush(delta(2, 1)));
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertEquals(sent.stream().map(Sent::controller).toList(), List.of("b:1"));
  }

  @Test
  public void aNodeWithoutSeedsContactsThoseOfALaterReload() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<Sent> sent = new ArrayList<>();
    NodeAgent agent = started(clock, List.of(), sent);
    clock.advanceTimeBy(Duration.ofMillis(1_000));
    sent.clear();
    agent.setSeeds(List.of("a:1"));
    clock.advanceTimeBy(Duration.ofMillis(1_000));
    assertTrue(sent.stream().anyMatch(each -> each.controller().equals("a:1")));
  }
}
