package org.streamcourse.process.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Creates the actual appender when the first line arrives, on the thread that writes lines, so that
 * the start of the process does not wait for it. An optional delay leaves the lines in the queue
 * while the process starts up; stopping the queue ends the delay.
 */
final class LazyAppender extends AppenderBase<ILoggingEvent> {
  private final long delayMillis;
  private final Supplier<Appender<ILoggingEvent>> factory;
  private final CountDownLatch delayEnded = new CountDownLatch(1);
  private Appender<ILoggingEvent> created;

  LazyAppender(long delayMillis, Supplier<Appender<ILoggingEvent>> factory) {
    this.delayMillis = delayMillis;
    this.factory = factory;
  }

  @Override
  protected void append(ILoggingEvent line) {
    if (created == null) {
      awaitDelay();
      created = factory.get();
    }
    created.doAppend(line);
  }

  /**
   * Ends the delay, also if it has not begun. The interrupt that a stopping queue sends to its
   * writer thread is not sufficient: a thread that has not taken its first line yet consumes the
   * interrupt before the delay begins.
   */
  void endDelay() {
    delayEnded.countDown();
  }

  private void awaitDelay() {
    try {
      delayEnded.await(delayMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      // The queue is stopping: its remaining lines are written without further delay.
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void stop() {
    super.stop();
    if (created != null) {
      created.stop();
    }
  }
}
