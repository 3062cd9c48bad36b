package org.streamcourse.process;

import reactor.core.Disposable;

/**
 * Runs tasks sequentially, in the order in which they become due. Each session, stream and control
 * component is bound to one worker, so its own state needs no lock; tables shared between workers
 * have locks (see docs/ARCHITECTURE.md for their order).
 */
public interface Worker {
  /**
   * Returns the current monotonic time.
   *
   * @return milliseconds from an arbitrary origin
   */
  long now();

  /**
   * Runs a task after the tasks queued before it.
   *
   * @param task task to run
   */
  void execute(Runnable task);

  /**
   * Runs a task after a delay.
   *
   * @param delayMillis delay in milliseconds
   * @param task task to run
   * @return handle that cancels the task
   */
  Disposable schedule(long delayMillis, Runnable task);

  /**
   * Runs a task periodically until cancelled; the delay starts when the previous run has ended or
   * failed.
   *
   * @param periodMillis delay between runs in milliseconds
   * @param task task to run
   * @return handle that cancels the repetition
   */
  default Disposable repeat(long periodMillis, Runnable task) {
    Disposable.Swap current = reactor.core.Disposables.swap();
    Runnable[] step = new Runnable[1];
    step[0] =
        () -> {
          if (current.isDisposed()) {
            return;
          }
          try {
            task.run();
          } finally {
            current.replace(schedule(periodMillis, step[0]));
          }
        };
    current.replace(schedule(periodMillis, step[0]));
    return current;
  }
}
