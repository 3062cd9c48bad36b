package org.streamcourse.process.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Passes log lines from the threads that log to a thread that writes. When the queue is full, a
 * line is dropped and counted instead of blocking the thread that logs.
 */
public final class LogQueue extends AsyncAppender {
  private static final int MAX_LINES = 2_048;
  private static final int FLUSH_MILLIS = 500;
  private static final AtomicLong LOST = new AtomicLong();

  /** Creates a queue; {@link #start} must be called before use. */
  public LogQueue() {
    setQueueSize(MAX_LINES);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setMaxFlushTime(FLUSH_MILLIS);
  }

  @Override
  protected void append(ILoggingEvent line) {
    if (getRemainingCapacity() == 0) {
      LOST.incrementAndGet();
    } else {
      super.append(line);
    }
  }

  @Override
  public void stop() {
    iteratorForAppenders().forEachRemaining(LogQueue::endDelay);
    super.stop();
  }

  private static void endDelay(Appender<ILoggingEvent> appender) {
    if (appender instanceof LazyAppender lazy) {
      lazy.endDelay();
    }
  }

  /**
   * Returns the number of lines that this process dropped because a queue was full.
   *
   * @return count since the process started
   */
  public static long lost() {
    return LOST.get();
  }
}
