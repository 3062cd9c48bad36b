package org.streamcourse.connection.member;

import java.util.function.Consumer;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;

/**
 * A connection to an unresponsive member that is closed as soon as it is established. It tells a
 * slow member, which accepts the connection, from an unreachable one.
 */
final class LivenessProbe implements MemberChannel.Listener {
  private final Runnable alive;
  private final Consumer<String> dead;
  private boolean done;

  /**
   * Creates a probe and starts its timeout; the caller dials the connection.
   *
   * @param worker the proxy's worker
   * @param timeoutMillis connect timeout
   * @param alive runs when the connection is established
   * @param dead receives the cause when the connection can't be established
   */
  LivenessProbe(Worker worker, long timeoutMillis, Runnable alive, Consumer<String> dead) {
    this.alive = alive;
    this.dead = dead;
    worker.schedule(
        timeoutMillis,
        () -> failed("no response, and a new connection was not established in time"));
  }

  @Override
  public void connected(MemberChannel channel) {
    done = true;
    alive.run();
    channel.close();
  }

  @Override
  public void answered(Answer answer) {
    // The probe sends no command.
  }

  @Override
  public void closed(String cause) {
    failed(cause);
  }

  private void failed(String cause) {
    if (!done) {
      done = true;
      dead.accept(cause);
    }
  }
}
