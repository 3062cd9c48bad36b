package org.streamcourse.process.settings;

import sun.misc.Signal;

/**
 * Requests to reload the settings. Those that arrive before the process has started are served once
 * it has: it may have read the settings before they changed. Reloads run one at a time, on the
 * thread of the request.
 */
public final class ReloadRequests {
  private Runnable reload;
  private boolean pending;

  /**
   * Creates requests that SIGHUP makes from now on; by default it would end the process.
   *
   * @return requests, none of them made yet
   */
  public static ReloadRequests onSignal() {
    ReloadRequests requests = new ReloadRequests();
    Signal.handle(new Signal("HUP"), signal -> requests.request());
    return requests;
  }

  /** Reloads the settings, at the end of the start if that is still to come. */
  public synchronized void request() {
    if (reload == null) {
      pending = true;
    } else {
      reload.run();
    }
  }

  /**
   * Serves requests from now on, among them those that arrived during the start.
   *
   * @param reload reloads the settings
   */
  public synchronized void started(Runnable reload) {
    this.reload = reload;
    if (pending) {
      reload.run();
    }
  }
}
