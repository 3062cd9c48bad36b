package org.streamcourse.request.gateway;

import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.connection.backend.PoolEntry;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.Worker;

/**
 * Passes the events of a pooled connection to the stream that holds the connection, on the
 * gateway's worker. Events that arrive after the stream has returned the connection are dropped.
 */
final class AnswerListener implements MemberSession.Listener {
  /** Receives the events of the connection. */
  interface Receiver {
    boolean holds(PoolEntry entry);

    void onMemberMessage(WireMessage message);

    void onMemberReadComplete();

    void onMemberClosed(String cause);
  }

  private final PoolEntry entry;
  private final Worker worker;
  private final Receiver receiver;

  AnswerListener(PoolEntry entry, Worker worker, Receiver receiver) {
    this.entry = entry;
    this.worker = worker;
    this.receiver = receiver;
  }

  @Override
  public void onMessage(WireMessage message) {
    handle(() -> receiver.onMemberMessage(message));
  }

  @Override
  public void onReadComplete() {
    handle(receiver::onMemberReadComplete);
  }

  @Override
  public void onClosed(String cause) {
    handle(() -> receiver.onMemberClosed(cause));
  }

  private void handle(Runnable task) {
    worker.execute(
        () -> {
          if (receiver.holds(entry)) {
            task.run();
          }
        });
  }
}
