package org.streamcourse.process.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Creates another appender with the first line, on the thread that writes lines, so that a process
 * need not wait for it before it serves. With a delay the lines wait in the queue while the process
 * takes up its work after a start; a stop ends the delay.
 */
final class LateAppender extends AppenderBase<ILoggingEvent> {
  private final long delayMillis;
  private final Supplier<Appender<ILoggingEvent>> creation;
  private final CountDownLatch delayEnded = new CountDownLatch(1);
  private Appender<ILoggingEvent> created;

  LateAppender(long delayMillis, Supplier<Appender<ILoggingEvent>> creation) {
    this.delayMillis = delayMillis;
    this.creation = creation;
  }

  @Override
  protected void append(ILoggingEvent line) {
    if (created == null) {
      waitOnce();
      created = creation.get();
    }
    created.doAppend(line);
  }

  /**
   * Ends the delay, now or before it begins. The interrupt with which a queue stops does not do it
   * for certain: a writer that has not taken its first line yet uses the interrupt up.
   */
  void endDelay() {
    delayEnded.countDown();
  }

  private void waitOnce() {
    try {
      delayEnded.await(delayMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      // The queue stops: what is in it is written at once.
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
