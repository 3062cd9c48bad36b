package org.streamcourse.process;

import java.util.function.Supplier;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** A fixed number of threads; workers are assigned to them in turn. */
public final class WorkerPool implements Supplier<Worker> {
  private final Scheduler scheduler;

  /**
   * Starts the threads.
   *
   * @param name prefix of the threads' names
   * @param threads number of threads
   */
  public WorkerPool(String name, int threads) {
    scheduler = Schedulers.newParallel(name, threads, false);
  }

  @Override
  public Worker get() {
    return SchedulerWorker.monotonic(scheduler);
  }

  /** Stops the threads. */
  public void stop() {
    scheduler.dispose();
  }
}
