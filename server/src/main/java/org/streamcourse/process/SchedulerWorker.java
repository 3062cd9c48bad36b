package org.streamcourse.process;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/** A worker on a Reactor scheduler; the scheduler may run on a virtual clock. */
public final class SchedulerWorker implements Worker {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulerWorker.class);

  private final Scheduler.Worker worker;
  private final LongSupplier clockMillis;

  private SchedulerWorker(Scheduler.Worker worker, LongSupplier clockMillis) {
    this.worker = worker;
    this.clockMillis = clockMillis;
  }

  /**
   * Creates a worker on the machine's monotonic clock.
   *
   * @param scheduler pool of threads of which one runs the worker
   * @return new worker
   */
  public static SchedulerWorker monotonic(Scheduler scheduler) {
    return new SchedulerWorker(
        scheduler.createWorker(), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /**
   * Creates a worker on the scheduler's clock, for the simulator.
   *
   * @param scheduler scheduler with a virtual clock
   * @return new worker
   */
  public static SchedulerWorker onSchedulerClock(Scheduler scheduler) {
    return new SchedulerWorker(
        scheduler.createWorker(), () -> scheduler.now(TimeUnit.MILLISECONDS));
  }

  @Override
  public long now() {
    return clockMillis.getAsLong();
  }

  @Override
  public void execute(Runnable task) {
    worker.schedule(guard(task));
  }

  @Override
  public Disposable schedule(long delayMillis, Runnable task) {
    return worker.schedule(guard(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  private static Runnable guard(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        FatalErrors.check(e);
        LOG.error("task on a worker failed", e);
      } catch (Error e) {
        FatalErrors.check(e);
        throw e;
      }
    };
  }
}
