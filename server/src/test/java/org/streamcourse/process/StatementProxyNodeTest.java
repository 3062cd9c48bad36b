package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Place;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A proxy that stops leaves no session open, also not one that is opened meanwhile. */
public class StatementProxyNodeTest {
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

  private static StatementProxyNode node() {
    Worker worker = SchedulerWorker.onSchedulerClock(VirtualTimeScheduler.create());
    return new StatementProxyNode(
        worker,
        (peer, message) -> {},
        StreamTypes.codec(),
        List.of("10.0.0.1:1"),
        new NodeImage("10.0.0.2:1", 1, "10.0.0.2", 1, new Place("r", "z"), false),
        (host, port, listener) -> {},
        new RequestLog(new LineBudget(1, worker::now), 0),
        0);
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
