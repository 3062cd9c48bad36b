package org.streamcourse.process;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlMessage.StoredImage;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * After a restart of the whole fleet, nodes receive the stored image before a leader is elected.
 */
public class StoredImageTest {
  private static final String NODE = "10.0.0.9:1";

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final Disk disk = new MemoryDisk();
  private final List<Object> sent = new ArrayList<>();

  private ControllerNode start() {
    ControllerNode node =
        new ControllerNode(
            "c",
            List.of("c"),
            true,
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> sent.add(message),
            disk,
            StreamTypes.codec(),
            AgreementSettings.DEFAULT,
            ControlSettings.DEFAULT,
            new Random(1),
            0);
    node.start();
    advance(0);
    return node;
  }

  private void advance(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void replace(ControllerNode node, long version) {
    RoutingDocument document =
        new RoutingDocument(
            version, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "v" + version);
    node.serviceCalls().execute(new ServiceCall.ReplaceDocument(document), result -> {});
    advance(200);
  }

  private static NodeHeartbeat heartbeat(long version) {
    NodeImage self = new NodeImage(NODE, 1, "10.0.0.9", 1, new Placement("r", "z"), false);
    return new NodeHeartbeat(self, 1, version, 0, false, 0, true, List.of());
  }

  private ControllerNode restartAfterTwoChanges() {
    ControllerNode first = start();
    advance(2_000);
    replace(first, 1);
    replace(first, 2);
    first.stop();
    advance(10);
    sent.clear();
    return start();
  }

  private <T> List<T> sent(Class<T> kind) {
    return sent.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  @Test
  public void aNodeReceivesTheStoredImageAndThenTheConfirmedOne() {
    ControllerNode restarted = restartAfterTwoChanges();
    restarted.receive(NODE, heartbeat(0));
    advance(1);
    assertEquals(sent(StoredImage.class).size(), 1);
    long stored = sent(StoredImage.class).get(0).image().document().version();
    assertEquals(stored, 1, "the last change is not known to be committed yet");

    advance(2_000);
    HeartbeatReply reply = sent(HeartbeatReply.class).get(0);
    assertEquals(reply.sequence(), 1, "the heartbeat sent before the election is answered");
    assertEquals(restarted.controller().image().document().version(), 2);
  }

  @Test
  public void aNodeWithAnImageReceivesNoStoredImage() {
    ControllerNode restarted = restartAfterTwoChanges();
    restarted.receive(NODE, heartbeat(1));
    advance(1);
    assertEquals(sent(StoredImage.class), List.of());
  }
}
