package org.streamcourse.connection.session;

import org.streamcourse.connection.member.CommandListener;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.process.Worker;
import org.streamcourse.request.routing.StatementContext;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.TenantId;
import reactor.core.Disposable;

/**
 * The transaction of a session. It has no member until its first statement, and loses it when it
 * fails.
 *
 * <p>Invariant: all its statements run on one link, one after the other; each is heard of once.
 */
final class ClientTransaction {
  /** Hears how a statement within the transaction ended. */
  interface Listener {
    /**
     * The member answered.
     *
     * @param answer the answer
     * @param sentMillis worker time at which the statement was sent
     */
    void answered(Answer answer, long sentMillis);

    /**
     * The link is gone, and with it the answer.
     *
     * @param why text for a person
     */
    void lost(String why);
  }

  private final Worker worker;
  private final boolean readOnly;
  private TenantId tenant = TenantId.NONE;
  private MemberLinks links;
  private MemberLink link;
  private Running running;
  private boolean wrote;
  private boolean failed;

  ClientTransaction(Worker worker, boolean readOnly) {
    this.worker = worker;
    this.readOnly = readOnly;
  }

  boolean isReadOnly() {
    return readOnly;
  }

  void opened(TenantId owner, MemberLinks pool, MemberLink opened) {
    tenant = owner;
    links = pool;
    link = opened;
  }

  /** Whether it has a member. */
  boolean isOpen() {
    return link != null;
  }

  /** Whose work it is; {@link TenantId#NONE} before it is open. */
  TenantId tenant() {
    return tenant;
  }

  boolean hasWritten() {
    return wrote;
  }

  boolean isFailed() {
    return failed;
  }

  void fail() {
    failed = true;
  }

  /** Sends a statement; the route's time-out bounds it. */
  void run(StatementContext context, Listener listener) {
    wrote |= context.writes();
    link.applyValues(context.values());
    running = new Running(listener, worker.now());
    running.timeout = worker.schedule(context.route().timeoutMillis(), running::timedOut);
    link.run(context.command(link, null), running);
  }

  /**
   * Gives the link back, rolled back where something is open on it; closes it where an answer is
   * outstanding.
   */
  void giveBack() {
    if (running != null) {
      running.end();
      dropLink();
    } else if (link != null) {
      links.releaseRolledBack(takeLink());
    }
  }

  private MemberLink takeLink() {
    MemberLink taken = link;
    link = null;
    return taken;
  }

  private void dropLink() {
    MemberLink dropped = takeLink();
    dropped.close();
    links.release(dropped);
  }

  /** The statement that runs. */
  private final class Running implements CommandListener {
    private final Listener listener;
    private final long sentMillis;
    private Disposable timeout = () -> {};
    private boolean ended;

    Running(Listener listener, long sentMillis) {
      this.listener = listener;
      this.sentMillis = sentMillis;
    }

    /** Hears nothing more. */
    private void end() {
      ended = true;
      timeout.dispose();
      running = null;
    }

    @Override
    public void answered(Answer answer) {
      if (!ended) {
        end();
        listener.answered(answer, sentMillis);
      }
    }

    @Override
    public void lost(String cause) {
      if (!ended) {
        end();
        links.release(takeLink());
        listener.lost("the member was lost: " + cause);
      }
    }

    private void timedOut() {
      if (!ended) {
        end();
        dropLink();
        listener.lost("the member did not answer in time");
      }
    }
  }
}
