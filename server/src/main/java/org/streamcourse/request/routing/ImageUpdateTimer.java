package org.streamcourse.request.routing;

import org.streamcourse.process.Worker;
import reactor.core.Disposable;

/**
 * Runs a task at the next change of the cluster image, or after a short delay: a member may become
 * usable again without a new image.
 */
final class ImageUpdateTimer {
  /** Delay after which a member is tried again without a new image. */
  private static final long RETRY_DELAY_MILLIS = 40;

  private final Worker worker;
  private final MemberTable table;
  private final Runnable retry;
  private final Runnable onWake = this::wakeUp;
  private Disposable timeout = () -> {};

  /**
   * Creates a timer that is not started.
   *
   * @param worker the proxy's worker
   * @param table reports image changes
   * @param retry runs at the end of each wait that is not cancelled
   */
  ImageUpdateTimer(Worker worker, MemberTable table, Runnable retry) {
    this.worker = worker;
    this.table = table;
    this.retry = retry;
  }

  void start() {
    table.onChange(onWake);
    timeout = worker.schedule(RETRY_DELAY_MILLIS, onWake);
  }

  private void wakeUp() {
    cancel();
    retry.run();
  }

  void cancel() {
    table.removeOnChange(onWake);
    timeout.dispose();
  }
}
