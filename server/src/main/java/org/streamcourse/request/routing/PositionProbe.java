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
 * Probes the primary's log position, once for all reads that wait for it. Without the probe, a node
 * that has just started or was idle knows no recent position and would send all its reads to the
 * primary.
 *
 * <p>The probe begins a transaction and rolls it back. Only a primary begins a read-write
 * transaction, and the probe occupies no slot of the member because it runs no statement.
 *
 * <p>All methods run on the proxy's worker.
 */
final class PositionProbe {
  /** Longest time for which the probe waits for a connection. */
  private static final long MAX_WAIT_MILLIS = 500;

  /** Longest time until the answer, also if another node's link to the primary is silent. */
  private static final long ANSWER_TIMEOUT_MILLIS = 1_500;

  private static final int HIGHEST_PRIORITY = 0;

  private final Worker worker;
  private final ServiceMembers members;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean inFlight;

  PositionProbe(Worker worker, ServiceMembers members) {
    this.worker = worker;
    this.members = members;
  }

  /**
   * Starts a probe, unless one is in flight.
   *
   * @param tenant tenant whose link is used when no link is idle; the probe itself has no tenant
   * @param onEnd runs when the probe has ended, successfully or not
   */
  void start(TenantId tenant, Runnable onEnd) {
    waiting.add(onEnd);
    if (inFlight) {
      return;
    }
    inFlight = true;
    MemberLinks primary = members.primary();
    if (primary == null) {
      // Deferred, so that the callback does not run within this call.
      worker.execute(this::end);
    } else {
      primary.acquire(new ProbeRequest(primary, tenant));
    }
  }

  private void end() {
    inFlight = false;
    List<Runnable> callbacks = List.copyOf(waiting);
    waiting.clear();
    callbacks.forEach(Runnable::run);
  }

  /** Requests a link to the primary and probes the position over it. */
  private final class ProbeRequest implements LinkRequest, CommandListener {
    private final MemberLinks links;
    private final TenantId tenant;
    private MemberLink link;
    private long sentMillis;
    private boolean ended;

    ProbeRequest(MemberLinks links, TenantId tenant) {
      this.links = links;
      this.tenant = tenant;
    }

    @Override
    public TenantId tenant() {
      return tenant;
    }

    /**
     * Returns true, because the probe runs no statement and leaves the session of a link as it is.
     */
    @Override
    public boolean takesAnyTenant() {
      return true;
    }

    @Override
    public int priority() {
      return HIGHEST_PRIORITY;
    }

    @Override
    public boolean needsPrimary() {
      return true;
    }

    @Override
    public long maxWaitMillis() {
      return MAX_WAIT_MILLIS;
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
      worker.schedule(ANSWER_TIMEOUT_MILLIS, this::timedOut);
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      if (link == null) {
        worker.execute(PositionProbe.this::end);
      } else {
        // Closing the link reports the probe as lost.
        link.close();
      }
    }

    private void timedOut() {
      if (!ended) {
        ended = true;
        links.drop(link);
        end();
      }
    }

    @Override
    public void answered(Answer answer) {
      if (ended) {
        return;
      }
      ended = true;
      if (answer.isComplete() && answer.position() != null) {
        members.markPrimary(links.member().id());
        members.recordPrimaryPosition(sentMillis, answer.position());
      } else if (answer.code() == AnswerCode.READ_ONLY) {
        members.markNotPrimary(links.member().id());
      }
      links.releaseRolledBack(link);
      end();
    }

    @Override
    public void lost(String cause) {
      if (!ended) {
        ended = true;
        links.release(link);
        end();
      }
    }
  }
}
