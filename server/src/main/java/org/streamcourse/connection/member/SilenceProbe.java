package org.streamcourse.connection.member;

import java.util.function.Consumer;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;

/**
 * A connection to a silent member that is closed as soon as it stands: a member that is only slow
 * accepts it.
 */
final class SilenceProbe implements MemberChannel.Listener {
  private final Runnable alive;
  private final Consumer<String> dead;
  private boolean done;

  /**
   * Creates a probe that has yet to be dialed.
   *
   * @param worker the proxy's worker
   * @param longestMillis time that the connection may take to come about
   * @param alive runs when it stands
   * @param dead hears the cause when it does not come about
   */
  SilenceProbe(Worker worker, long longestMillis, Runnable alive, Consumer<String> dead) {
    this.alive = alive;
    this.dead = dead;
    worker.schedule(longestMillis, () -> failed("silent, and no connection comes about"));
  }

  @Override
  public void connected(MemberChannel channel) {
    done = true;
    alive.run();
    channel.close();
  }

  @Override
  public void answered(Answer answer) {
    // Nothing was asked.
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
