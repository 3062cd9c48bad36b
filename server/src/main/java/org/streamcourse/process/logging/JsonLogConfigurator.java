package org.streamcourse.process.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;

/**
 * Configures Logback: JSON lines on a standard stream, written through a {@link LogQueue}. The
 * configuration is code because parsing a Logback file takes a large part of a process's start.
 *
 * <p>Environment variables: {@code STREAMCOURSE_LOG_TARGET}, {@code System.err} when unset or
 * {@code System.out}; {@code STREAMCOURSE_LOG_LEVEL}, {@code INFO} when unset; {@code
 * STREAMCOURSE_LOG_DELAY_MILLIS}, time between the first line and the start of writing, 0 when
 * unset. A file named by the system property {@code logback.configurationFile} replaces this
 * configuration.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_TOP_PRIORITY)
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
  private static final String TARGET_VARIABLE = "STREAMCOURSE_LOG_TARGET";
  private static final String DEFAULT_TARGET = "System.err";
  private static final String LEVEL_VARIABLE = "STREAMCOURSE_LOG_LEVEL";
  private static final String DELAY_VARIABLE = "STREAMCOURSE_LOG_DELAY_MILLIS";
  private static final String FILE_PROPERTY = "logback.configurationFile";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (System.getProperty(FILE_PROPERTY) != null) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    LazyAppender console = new LazyAppender(delayMillis(), () -> console(context));
    console.setContext(context);
    console.start();
    LogQueue queue = new LogQueue();
    queue.setContext(context);
    queue.addAppender(console);
    queue.start();
    context.getLogger("io.netty").setLevel(Level.WARN);
    context.getLogger("reactor").setLevel(Level.WARN);
    context
        .getLogger("org.streamcourse")
        .setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(queue);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> LogFlush.closeAfterStops(context::stop), "log-flush"));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static long delayMillis() {
    String delay = System.getenv(DELAY_VARIABLE);
    try {
      return delay == null ? 0 : Math.max(0, Long.parseLong(delay));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(DELAY_VARIABLE + " is not a number: " + delay, e);
    }
  }

  private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.start();
    String target = System.getenv(TARGET_VARIABLE);
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget(target == null ? DEFAULT_TARGET : target);
    console.setEncoder(encoder);
    console.start();
    return console;
  }
}
