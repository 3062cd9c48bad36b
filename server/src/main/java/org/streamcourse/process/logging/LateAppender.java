package org.streamcourse.process.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.function.Supplier;

/**
 * Creates another appender with the first line, on the thread that writes lines, so that a process
 * need not wait for it before it serves.
 */
final class LateAppender extends AppenderBase<ILoggingEvent> {
  private final Supplier<Appender<ILoggingEvent>> creation;
  private Appender<ILoggingEvent> created;

  LateAppender(Supplier<Appender<ILoggingEvent>> creation) {
    this.creation = creation;
  }

  @Override
  protected void append(ILoggingEvent line) {
    if (created == null) {
      created = creation.get();
    }
    created.doAppend(line);
  }

  @Override
  public void stop() {
    super.stop();
    if (created != null) {
      created.stop();
    }
  }
}
