package org.streamcourse.process.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Logging never blocks, dropped lines are counted, and a stop writes the queued lines. */
public class LogQueueTest {
  private static final int LINES = 5_000;
  private static final long LONG_DELAY_MILLIS = 600_000;

  /** Stores lines; blocks on the first one until {@link #release} is counted down. */
  private static final class Slow extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch release = new CountDownLatch(1);
    private final CopyOnWriteArrayList<String> written = new CopyOnWriteArrayList<>();

    @Override
    protected void append(ILoggingEvent line) {
      try {
        release.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.add(line.getMessage());
    }
  }

  private static LoggerContext context() {
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    return context;
  }

  private static ILoggingEvent line(LoggerContext context, int number) {
    return new LoggingEvent(
        "", context.getLogger("test"), Level.INFO, "line " + number, null, new Object[0]);
  }

  private static LogQueue queue(LoggerContext context, AppenderBase<ILoggingEvent> target) {
    target.setContext(context);
    target.start();
    LogQueue queue = new LogQueue();
    queue.setContext(context);
    queue.addAppender(target);
    queue.start();
    return queue;
  }

  @Test
  public void aBlockedWriterDoesNotBlockLogging() {
    LoggerContext context = context();
    Slow slow = new Slow();
    LogQueue queue = queue(context, slow);
    long lostBefore = LogQueue.lost();
    for (int i = 0; i < LINES; i++) {
      queue.doAppend(line(context, i));
    }
    long lost = LogQueue.lost() - lostBefore;
    assertTrue(lost > 0, "more lines are logged than the queue holds");
    slow.release.countDown();
    queue.stop();
    assertEquals(slow.written.size() + lost, LINES, "each line is written or counted as lost");
  }

  @Test
  public void aStopEndsTheDelayAndWritesQueuedLines() {
    LoggerContext context = context();
    Slow target = new Slow();
    target.release.countDown();
    target.setContext(context);
    target.start();
    LazyAppender lazy = new LazyAppender(LONG_DELAY_MILLIS, () -> target);
    LogQueue queue = queue(context, lazy);
    for (int i = 0; i < 10; i++) {
      queue.doAppend(line(context, i));
    }
    queue.stop();
    assertEquals(target.written.size(), 10);
  }

  /** Covers a writer thread that consumes the queue's interrupt before it takes its first line. */
  @Test(timeOut = LONG_DELAY_MILLIS / 10)
  public void aDelayEndedBeforeTheFirstLineIsSkipped() {
    LoggerContext context = context();
    Slow target = new Slow();
    target.release.countDown();
    target.setContext(context);
    target.start();
    LazyAppender lazy = new LazyAppender(LONG_DELAY_MILLIS, () -> target);
    LogQueue queue = new LogQueue();
    queue.setContext(context);
    lazy.setContext(context);
    lazy.start();
    queue.addAppender(lazy);
    queue.stop();
    lazy.doAppend(line(context, 0));
    assertEquals(target.written.size(), 1);
  }
}
