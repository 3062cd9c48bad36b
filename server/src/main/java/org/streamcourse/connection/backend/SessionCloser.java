package org.streamcourse.connection.backend;

import java.util.concurrent.atomic.AtomicBoolean;
import org.streamcourse.process.Worker;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Closes one connection to a member. The connection counts as open until the member has closed it
 * or the grace period has expired.
 */
final class SessionCloser {
  private final MemberSession session;
  private final Runnable ended;
  private final AtomicBoolean completed = new AtomicBoolean();
  private final Disposable.Swap timeout = Disposables.swap();

  private SessionCloser(MemberSession session, Runnable ended) {
    this.session = session;
    this.ended = ended;
  }

  /**
   * Requests the member to close a connection.
   *
   * @param worker runs the timeout
   * @param session the connection
   * @param graceMillis longest time to wait for the member
   * @param ended runs once, on any thread, when the connection no longer counts as open
   */
  static void begin(Worker worker, MemberSession session, long graceMillis, Runnable ended) {
    SessionCloser closer = new SessionCloser(session, ended);
    closer.timeout.update(worker.schedule(graceMillis, closer::onTimeout));
    session.end(closer::complete);
  }

  private void onTimeout() {
    session.close();
    complete();
  }

  private void complete() {
    timeout.dispose();
    if (completed.compareAndSet(false, true)) {
      ended.run();
    }
  }
}
