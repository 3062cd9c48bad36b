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

/** Lines never make a thread wait, what is dropped is counted, and a stop writes what is left. */
public class LogQueueTest {
  private static final int LINES = 5_000;
  private static final long LONG_DELAY_MILLIS = 600_000;

  /** Keeps lines; the first one waits until it is let go. */
  private static final class Slow extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch letGo = new CountDownLatch(1);
    private final CopyOnWriteArrayList<String> written = new CopyOnWriteArrayList<>();

    @Override
    protected void append(ILoggingEvent line) {
      try {
        letGo.await();
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
  public void aWriterThatStandsStillMakesNobodyWait() {
    LoggerContext context = context();
    Slow slow = new Slow();
    LogQueue queue = queue(context, slow);
    long lostBefore = LogQueue.lost();
    for (int i = 0; i < LINES; i++) {
      queue.doAppend(line(context, i));
    }
    long lost = LogQueue.lost() - lostBefore;
    assertTrue(lost > 0, "more lines came than the queue holds");
    slow.letGo.countDown();
    queue.stop();
    assertEquals(slow.written.size() + lost, LINES, "each line is written or counted as lost");
  }

  @Test
  public void aStopEndsTheDelayAndWritesWhatIsLeft() {
    LoggerContext context = context();
    Slow target = new Slow();
    target.letGo.countDown();
    target.setContext(context);
    target.start();
    LateAppender late = new LateAppender(LONG_DELAY_MILLIS, () -> target);
    LogQueue queue = queue(context, late);
    for (int i = 0; i < 10; i++) {
      queue.doAppend(line(context, i));
    }
    queue.stop();
    assertEquals(target.written.size(), 10);
  }

  /** The writer has used the interrupt up before its first line, as when it is slow to begin. */
  @Test(timeOut = LONG_DELAY_MILLIS / 10)
  public void aDelayThatHasEndedBeforeItBeginsIsNotWaitedFor() {
    LoggerContext context = context();
    Slow target = new Slow();
    target.letGo.countDown();
    target.setContext(context);
    target.start();
    LateAppender late = new LateAppender(LONG_DELAY_MILLIS, () -> target);
    LogQueue queue = new LogQueue();
    queue.setContext(context);
    late.setContext(context);
    late.start();
    queue.addAppender(late);
    queue.stop();
    late.doAppend(line(context, 0));
    assertEquals(target.written.size(), 1);
  }
}
