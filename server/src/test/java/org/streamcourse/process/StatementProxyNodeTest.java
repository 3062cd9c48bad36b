package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.control.ControlMessage.StoredImage;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Place;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** What a proxy does at its start, its stop, and while it is cut off. */
public class StatementProxyNodeTest {
  private static final Place PLACE = new Place("r", "z");

  /** Notes whether a caller's connection was closed. */
  private static final class Caller implements ClientChannel {
    private boolean closed;

    @Override
    public void welcome() {}

    @Override
    public void answer(Answer answer) {}

    @Override
    public void refuse(Answer error) {
      closed = true;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  private static final String SELF = "10.0.0.2:1";
  private static final String OTHER = "10.0.0.3:1";

  private static StatementProxyNode node() {
    return node(VirtualTimeScheduler.create(), (peer, message) -> {});
  }

  private static StatementProxyNode node(VirtualTimeScheduler clock, PeerNetwork network) {
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    return new StatementProxyNode(
        worker,
        network,
        StreamTypes.codec(),
        List.of("10.0.0.1:1"),
        image(SELF),
        (host, port, listener) -> {},
        new RequestLog(new LineBudget(1, worker::now), 0),
        0);
  }

  private static NodeImage image(String name) {
    return new NodeImage(name, 1, name.substring(0, name.indexOf(':')), 1, PLACE, false);
  }

  /** After a loss of all power each node would otherwise open links to all others at once. */
  @Test
  public void othersAreLookedForOnlyByANodeThatHasLongBeenCutOff() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    AtomicInteger questions = new AtomicInteger();
    StatementProxyNode node =
        node(
            clock,
            (peer, message) -> {
              if (peer.equals(OTHER)) {
                questions.incrementAndGet();
              }
            });
    node.start();
    ClusterImage stored =
        ClusterImage.EMPTY
            .apply(new ClusterChange.NodeAdmitted(image(SELF)))
            .apply(new ClusterChange.NodeAdmitted(image(OTHER)));
    node.receive("10.0.0.1:1", new StoredImage(stored));
    clock.advanceTimeBy(Duration.ofMillis(2_000));
    assertEquals(questions.get(), 0, "questions of a node that has just started");
    clock.advanceTimeBy(Duration.ofMillis(2_000));
    assertTrue(questions.get() > 0, "it looks for others after 3 s");
  }

  @Test
  public void sessionsThatAreOpenedDuringAStopEndAtOnce() {
    StatementProxyNode node = node();
    Caller before = new Caller();
    node.open(before);
    node.beginStop();
    assertFalse(before.closed, "callers are still sent here for a while");
    node.drainSessions();
    assertTrue(before.closed);
    Caller after = new Caller();
    node.open(after);
    assertTrue(after.closed);
    assertEquals(node.openSessions(), 0);
  }
}
