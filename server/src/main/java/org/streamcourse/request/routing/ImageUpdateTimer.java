package org.streamcourse.request.routing;

import org.streamcourse.process.Worker;
import reactor.core.Disposable;

/**
 * Waits for another image of the fleet, and no longer than a short while, since a member may change
 * its mind without one.
 */
final class ImageUpdateTimer {
  /** Pause before the primary is asked again after it refused. */
  private static final long PAUSE_MILLIS = 40;

  private final Worker worker;
  private final MemberTable table;
  private final Runnable next;
  private final Runnable wake = this::wakeUp;
  private Disposable pause = () -> {};

  /**
   * Creates a timer that has not begun.
   *
   * @param worker the proxy's worker
   * @param table tells of other images
   * @param next runs at the end of each wait that is not cancelled
   */
  ImageUpdateTimer(Worker worker, MemberTable table, Runnable next) {
    this.worker = worker;
    this.table = table;
    this.next = next;
  }

  void start() {
    table.onChange(wake);
    pause = worker.schedule(PAUSE_MILLIS, wake);
  }

  private void wakeUp() {
    cancel();
    next.run();
  }

  void cancel() {
    table.forget(wake);
    pause.dispose();
  }
}
