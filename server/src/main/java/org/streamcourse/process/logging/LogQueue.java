package org.streamcourse.process.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Takes log lines from the threads that decide and hands them to a thread that writes them. A full
 * queue never makes a thread wait: the line is dropped and counted.
 */
public final class LogQueue extends AsyncAppender {
  private static final int MOST_LINES = 2_048;
  private static final int FLUSH_MILLIS = 500;
  private static final AtomicLong LOST = new AtomicLong();

  /** Creates a queue that is not started. */
  public LogQueue() {
    setQueueSize(MOST_LINES);
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
    if (appender instanceof LateAppender late) {
      late.endDelay();
    }
  }

  /**
   * Counts the lines that this process has lost since a queue was full.
   *
   * @return count since the start
   */
  public static long lost() {
    return LOST.get();
  }
}
