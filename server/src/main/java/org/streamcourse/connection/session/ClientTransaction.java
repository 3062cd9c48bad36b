package org.streamcourse.connection.session;

import org.streamcourse.connection.member.CommandListener;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.process.Worker;
import org.streamcourse.request.routing.StatementContext;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.TenantId;
import reactor.core.Disposable;

/**
 * The transaction of a session. It holds no member link before its first statement runs, and none
 * after it has failed.
 *
 * <p>Invariant: all statements of the transaction run on one member link, one after the other, and
 * the listener of each is called at most once.
 */
final class ClientTransaction {
  /** Receives the result of a statement within the transaction. */
  interface Listener {
    /**
     * Called when the member has answered.
     *
     * @param answer the answer
     * @param sentMillis worker time at which the statement was sent
     */
    void answered(Answer answer, long sentMillis);

    /**
     * Called when the member link was lost or closed before the answer arrived.
     *
     * @param reason description for the caller
     * @param mayHaveRun false when the statement has certainly not reached the member
     */
    void lost(String reason, boolean mayHaveRun);
  }

  private final Worker worker;
  private final boolean readOnly;
  private RouteRule route;
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

  /**
   * Opens the transaction on a member link.
   *
   * @param first first statement; the others run under its route and for its tenant
   * @param pool pool to which the link must be returned
   * @param opened link on which the transaction was begun
   */
  void opened(StatementContext first, MemberLinks pool, MemberLink opened) {
    route = first.route();
    tenant = first.tenant();
    links = pool;
    link = opened;
  }

  /** Returns whether the transaction holds a member link. */
  boolean isOpen() {
    return link != null;
  }

  /**
   * Returns the route under which the transaction was opened, or null before it is open. The route
   * in force may lead to another service meanwhile; it applies from the next transaction on.
   */
  RouteRule route() {
    return route;
  }

  /** Returns the tenant of the transaction, or {@link TenantId#NONE} before it is open. */
  TenantId tenant() {
    return tenant;
  }

  /** Returns the member of an open transaction. */
  MemberId member() {
    return link.member();
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

  /** Sends a statement, which is abandoned after the route's time-out. */
  void run(StatementContext context, Listener listener) {
    wrote |= context.writes();
    link.applyValues(context.values());
    running = new Running(listener, worker.now());
    running.timeout = worker.schedule(context.route().timeoutMillis(), running::timedOut);
    link.run(context.command(link, null), running);
  }

  /**
   * Ends the running statement without the member's answer, and closes the member link.
   *
   * @param reason description for the caller
   */
  void giveUp(String reason) {
    running.giveUp(reason);
  }

  /**
   * Returns the member link to its pool after rolling back an open transaction, or closes the link
   * when an answer is outstanding.
   */
  void releaseLink() {
    if (running != null) {
      running.end();
      closeLink();
    } else if (link != null) {
      links.releaseRolledBack(takeLink());
    }
  }

  private MemberLink takeLink() {
    MemberLink taken = link;
    link = null;
    return taken;
  }

  private void closeLink() {
    links.drop(takeLink());
  }

  /** The statement that is running. */
  private final class Running implements CommandListener {
    private final Listener listener;
    private final long sentMillis;
    private Disposable timeout = () -> {};
    private boolean ended;

    Running(Listener listener, long sentMillis) {
      this.listener = listener;
      this.sentMillis = sentMillis;
    }

    /** Ends the statement; later calls from the member link are ignored. */
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
      lost(cause, true);
    }

    @Override
    public void notSent(String cause) {
      lost(cause, false);
    }

    private void lost(String cause, boolean mayHaveRun) {
      if (!ended) {
        end();
        links.release(takeLink());
        listener.lost("the connection to the member was lost: " + cause, mayHaveRun);
      }
    }

    private void timedOut() {
      if (!ended) {
        giveUp("the member did not answer in time");
      }
    }

    private void giveUp(String reason) {
      boolean mayHaveRun = link.mayHaveRun();
      end();
      closeLink();
      listener.lost(reason, mayHaveRun);
    }
  }
}
