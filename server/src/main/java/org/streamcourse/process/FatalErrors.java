package org.streamcourse.process;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Hooks;
import reactor.core.scheduler.Schedulers;

/**
 * Ends the process after an {@link Error}. A process that has run out of memory may have carried
 * out a task in part, so it must not serve any longer; its restart loads what was synced to disk.
 * Without {@link #install}, as in tests, errors are only passed on.
 */
public final class FatalErrors {
  /** Exit value of the process, EX_SOFTWARE of sysexits.h. */
  public static final int EXIT_CODE = 70;

  private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);
  private static volatile boolean installed;

  private FatalErrors() {}

  /** Ends this process from now on when an error reaches a worker, an event loop or a thread. */
  public static void install() {
    installed = true;
    Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> uncaught(cause));
    Schedulers.onHandleError((thread, cause) -> uncaught(cause));
    Hooks.onErrorDropped(FatalErrors::uncaught);
  }

  private static void uncaught(Throwable cause) {
    check(cause);
    LOG.error("task failed on thread {}", Thread.currentThread().getName(), cause);
  }

  /**
   * Ends the process if a failure, or a cause of it, is an error.
   *
   * @param failure caught exception or error
   */
  public static void check(Throwable failure) {
    if (!installed) {
      return;
    }
    for (Throwable each = failure; each != null; each = each.getCause()) {
      if (each instanceof Error) {
        end(each);
      }
    }
  }

  private static void end(Throwable cause) {
    try {
      // The log may need memory that there is not; the standard error stream needs less.
      System.err.println("fatal error, ends the process with " + EXIT_CODE + ": " + cause);
      LOG.error("fatal error, ends the process with exit value {}", EXIT_CODE, cause);
      if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
        context.stop();
      }
    } finally {
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }
}
