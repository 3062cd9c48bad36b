package org.streamcourse.request.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.streamcourse.connection.member.CommandListener;
import org.streamcourse.connection.member.LinkRequest;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.TenantId;

/**
 * Asks the primary where its log stands, once for all reads that wait for it. A node that has just
 * started, or that had nothing to do for a while, would otherwise send all its reads to the
 * primary.
 *
 * <p>The question is a transaction that is begun and rolled back: only a primary begins one, and it
 * runs no statement, so it takes none of the member's slots.
 *
 * <p>All methods run on the proxy's worker.
 */
final class PositionProbe {
  /** Time that the question may wait for a connection. */
  private static final long MOST_WAIT_MILLIS = 500;

  private static final int FIRST_PRIORITY = 0;

  private final Worker worker;
  private final ServiceMembers members;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean asked;

  PositionProbe(Worker worker, ServiceMembers members) {
    this.worker = worker;
    this.members = members;
  }

  /**
   * Asks, unless a question is under way.
   *
   * @param tenant who waits for the answer; the question itself is nobody's
   * @param next runs when the question has ended, whether the place is known or not
   */
  void ask(TenantId tenant, Runnable next) {
    waiting.add(next);
    if (asked) {
      return;
    }
    asked = true;
    MemberLinks primary = members.primary();
    if (primary == null) {
      // Later, so that the caller is not called back while it asks.
      worker.execute(this::ended);
    } else {
      primary.acquire(new Question(primary, tenant));
    }
  }

  private void ended() {
    asked = false;
    List<Runnable> woken = List.copyOf(waiting);
    waiting.clear();
    woken.forEach(Runnable::run);
  }

  /** The wish for a link, and what is asked on it. */
  private final class Question implements LinkRequest, CommandListener {
    private final MemberLinks links;
    private final TenantId tenant;
    private MemberLink link;
    private long sentMillis;

    Question(MemberLinks links, TenantId tenant) {
      this.links = links;
      this.tenant = tenant;
    }

    @Override
    public TenantId tenant() {
      return tenant;
    }

    /** It runs no statement, so it disturbs nobody's link. */
    @Override
    public boolean takesAnyTenant() {
      return true;
    }

    @Override
    public int priority() {
      return FIRST_PRIORITY;
    }

    @Override
    public boolean needsPrimary() {
      return true;
    }

    @Override
    public long maxWaitMillis() {
      return MOST_WAIT_MILLIS;
    }

    @Override
    public Map<String, String> sessionValues() {
      return Map.of();
    }

    @Override
    public void granted(MemberLink granted) {
      link = granted;
      sentMillis = worker.now();
      link.run(new MemberCommand.BeginTransaction(false, null), this);
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      if (link == null) {
        worker.execute(PositionProbe.this::ended);
      } else {
        // Its end is told as the loss of the question.
        link.close();
      }
    }

    @Override
    public void answered(Answer answer) {
      if (answer.isComplete() && answer.position() != null) {
        members.isPrimary(links.member().id());
        members.primaryAt(sentMillis, answer.position());
      } else if (answer.code() == AnswerCode.READ_ONLY) {
        members.notPrimary(links.member().id());
      }
      links.releaseRolledBack(link);
      ended();
    }

    @Override
    public void lost(String cause) {
      links.release(link);
      ended();
    }
  }
}
