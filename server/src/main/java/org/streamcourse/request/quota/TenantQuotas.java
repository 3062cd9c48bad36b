package org.streamcourse.request.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.QuotaDemand;
import org.streamcourse.version.control.ControlMessage.QuotaNews;
import org.streamcourse.version.control.ControlMessage.QuotaReport;
import org.streamcourse.version.control.ControlMessage.QuotaShare;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * Keeps this node's operations within its shares of the tenants' limits, and reports its demand to
 * the controllers: at once when operations wait, otherwise changes once a second.
 *
 * <p>An operation that exceeds the share waits while the controllers may grant more, for {@link
 * #MAX_WAIT_MILLIS} at most, and is then refused with the time of the next request as its retry
 * time. If the limit is used up, it is refused at once, with the time until this node's window has
 * capacity.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class TenantQuotas implements OperationLimits {
  /**
   * Longest wait for a larger share: a round trip to the leader, a commit among the controllers,
   * and periodic checks at both ends.
   */
  static final long MAX_WAIT_MILLIS = 400;

  /** Least time between two reports, so that one report covers all operations that wait by then. */
  private static final long MIN_REPORT_INTERVAL_MILLIS = 60;

  /** Time after which a request for a larger share is repeated. */
  private static final long REQUEST_AGAIN_MILLIS = 100;

  private static final long CHANGES_REPORT_MILLIS = 1_000;
  private static final long COMPLETE_REPORT_MILLIS = 5_000;

  /** Time after a tenant's last operation until its share is given back. */
  private static final long UNUSED_MILLIS = 30_000;

  /** Time after a start until inherited shares of tenants without operations are given back. */
  private static final long SETTLED_MILLIS = 10_000;

  /** Most waiting operations of a tenant; with more, the last would wait too long. */
  private static final int MAX_WAITING = 64;

  /**
   * Most operations that are reported as used for bursts, beyond those admitted. More would keep
   * shares of an overloaded limit at nodes that do not need them.
   */
  private static final int MAX_BURST_RESERVE = 12;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** An operation that waits. */
  private record Waiting(QuotaRequest request, long sinceMillis) {}

  /** State of one tenant. */
  private static final class State {
    private final LocalQuota quota;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private QuotaDemand reported;
    private long usedMillis;
    private long requestedMillis = NEVER;
    private int admittedSinceReport;
    private int refusedSinceReport;

    State(LocalQuota quota) {
      this.quota = quota;
    }
  }

  private final Worker worker;
  private final QuotaPacing pacing;
  private final String node;
  private final long run;
  private final long startedMillis;
  private final BooleanSupplier holdsShares;
  private final Consumer<QuotaReport> toLeader;
  private final QuotaCounts counts = new QuotaCounts();
  private final Map<TenantId, State> states = new TreeMap<>();
  private long reportedMillis = NEVER;
  private long completedMillis = NEVER;
  private boolean reportScheduled;
  private boolean held;
  private boolean lapsed;

  /**
   * Creates quotas without shares.
   *
   * @param worker the proxy's worker
   * @param pacing how fast shares may be used
   * @param node name of this node
   * @param run random id of this start of the process
   * @param holdsShares returns whether the last confirmation by the controllers is recent enough
   * @param toLeader sends a report to the leading controller; reports may be lost
   */
  public TenantQuotas(
      Worker worker,
      QuotaPacing pacing,
      String node,
      long run,
      BooleanSupplier holdsShares,
      Consumer<QuotaReport> toLeader) {
    this.worker = worker;
    this.pacing = pacing;
    this.node = node;
    this.run = run;
    this.startedMillis = worker.now();
    this.holdsShares = holdsShares;
    this.toLeader = toLeader;
  }

  @Override
  public QuotaCounts counts() {
    return counts;
  }

  @Override
  public Disposable admit(TenantRule rule, QuotaRequest request) {
    if (!rule.isLimited()) {
      request.admitted(QuotaPermit.UNCOUNTED);
      return () -> {};
    }
    long now = worker.now();
    State state = state(rule.id());
    state.usedMillis = now;
    if (state.waiting.isEmpty() && take(state, now)) {
      admitted(request, state, now, now);
      requestMore(state, now);
      return () -> {};
    }
    Waiting waiting = new Waiting(request, now);
    long wait = Math.min(request.maxWaitMillis(), MAX_WAIT_MILLIS);
    if (mayBeAdmittedInTime(state, now, wait)) {
      state.waiting.addLast(waiting);
      worker.schedule(wait, () -> expire(state, waiting));
      requestMore(state, now);
      return () -> state.waiting.remove(waiting);
    }
    refuse(state, waiting, now);
    return () -> {};
  }

  private State state(TenantId tenant) {
    return states.computeIfAbsent(tenant, any -> new State(new LocalQuota(pacing, startedMillis)));
  }

  private boolean take(State state, long now) {
    return mayUseShares() && state.quota.take(now);
  }

  /**
   * Returns whether shares may be used. Drops all shares when the last confirmation is too old,
   * since the controllers may assign them to other nodes before the next confirmation.
   */
  private boolean mayUseShares() {
    boolean holds = holdsShares.getAsBoolean();
    if (!holds && held) {
      lapsed = true;
      states.values().forEach(state -> state.quota.drop());
    }
    held = holds;
    lapsed &= !holds;
    return holds;
  }

  private void admitted(QuotaRequest request, State state, long since, long now) {
    state.admittedSinceReport++;
    counts.admitted(now - since);
    request.admitted(() -> state.quota.giveBack(now, worker.now()));
  }

  /** Returns whether an operation behind those that wait may be admitted in time. */
  private static boolean mayBeAdmittedInTime(State state, long now, long wait) {
    int ahead = state.waiting.size();
    return ahead < MAX_WAITING
        && (!state.quota.isExhausted() || state.quota.millisUntilAllowed(ahead + 1, now) <= wait);
  }

  private void expire(State state, Waiting waiting) {
    if (state.waiting.remove(waiting)) {
      refuse(state, waiting, worker.now());
    }
  }

  private void refuse(State state, Waiting waiting, long now) {
    state.refusedSinceReport++;
    counts.refused();
    QuotaRefusal refusal =
        new QuotaRefusal(
            waiting.request().tenant(),
            reason(state),
            node,
            state.quota.used(now),
            state.quota.held(now),
            retryAfterMillis(state, now));
    requestMore(state, now);
    waiting.request().refused(refusal);
  }

  private QuotaRefusal.Reason reason(State state) {
    if (!holdsShares.getAsBoolean()) {
      return QuotaRefusal.Reason.NOT_CONFIRMED;
    }
    return state.quota.isExhausted() ? QuotaRefusal.Reason.NO_MORE : QuotaRefusal.Reason.NO_ANSWER;
  }

  /**
   * Returns the time to the next request if more may be granted, else the time until this node's
   * window has capacity.
   */
  private static long retryAfterMillis(State state, long now) {
    long untilAllowed = Math.max(1, state.quota.millisUntilAllowed(state.waiting.size() + 1, now));
    return state.quota.isExhausted() ? untilAllowed : Math.min(untilAllowed, REQUEST_AGAIN_MILLIS);
  }

  /**
   * Requests a larger share when the share is used up with the operations that wait and one more.
   */
  private void requestMore(State state, long now) {
    boolean isShort = !state.quota.allows(state.waiting.size() + 1, now);
    if (isShort && now - state.requestedMillis >= REQUEST_AGAIN_MILLIS) {
      state.requestedMillis = now;
      reportSoon(now);
    }
  }

  private void reportSoon(long now) {
    if (!reportScheduled) {
      reportScheduled = true;
      long wait = Math.max(0, reportedMillis + MIN_REPORT_INTERVAL_MILLIS - now);
      worker.schedule(wait, () -> report(false));
    }
  }

  /** Reports all tenants, or those whose demand has changed. */
  private void report(boolean complete) {
    reportScheduled = false;
    long now = worker.now();
    reportedMillis = now;
    List<QuotaDemand> demands = new ArrayList<>();
    states.forEach(
        (tenant, state) -> {
          QuotaDemand demand = demand(tenant, state, now);
          if (complete || !demand.needsTheSame(state.reported) || demand.waiting() > 0) {
            demands.add(demand);
            state.reported = demand;
            state.admittedSinceReport = 0;
            state.refusedSinceReport = 0;
          }
        });
    if (complete || !demands.isEmpty()) {
      boolean settled = complete && now - startedMillis >= SETTLED_MILLIS;
      toLeader.accept(new QuotaReport(run, now - startedMillis, settled, demands));
    }
  }

  /**
   * Returns the use to report: the share that the pacing needed, without the excess of a single
   * large burst.
   */
  private static int reportedUse(State state, long now) {
    int max = state.quota.used(now) + MAX_BURST_RESERVE;
    return Math.min(max, state.quota.needed(now));
  }

  private static QuotaDemand demand(TenantId tenant, State state, long now) {
    return new QuotaDemand(
        tenant,
        state.quota.number(),
        state.quota.held(now),
        reportedUse(state, now),
        state.waiting.size(),
        state.admittedSinceReport,
        state.refusedSinceReport);
  }

  /**
   * Applies shares assigned by the leader.
   *
   * @param news message of the leader
   */
  public void receive(QuotaNews news) {
    mayUseShares();
    if (news.run() != run || lapsed) {
      // Shares sent before the confirmation lapsed may belong to other nodes; the leader sends them
      // again.
      return;
    }
    long now = worker.now();
    for (QuotaShare share : news.shares()) {
      if (share.inherited() > 0) {
        // Keeps an inherited share, so that the first operation need not request it.
        state(share.tenant()).usedMillis = now;
      }
      State state = states.get(share.tenant());
      if (state != null) {
        update(share, state.quota, now);
        admitWaiting(state, now);
      }
    }
  }

  private static void update(QuotaShare share, LocalQuota quota, long now) {
    quota.update(
        share.number(),
        share.operations(),
        share.inherited(),
        share.ceiling(),
        share.exhausted(),
        now);
  }

  /**
   * Handles a confirmation of this node by the controllers. The leader is known from now on, so a
   * request is sent at once for operations that wait; earlier requests of a starting node may have
   * gone to controllers that do not lead.
   */
  public void confirmed() {
    long now = worker.now();
    if (completedMillis == NEVER) {
      // A complete report, by which the leader assigns the former incarnation's shares to this one.
      completedMillis = now;
      report(true);
      states.values().forEach(state -> state.requestedMillis = now);
      return;
    }
    for (State state : List.copyOf(states.values())) {
      if (!state.waiting.isEmpty()) {
        admitWaiting(state, now);
        state.requestedMillis = NEVER;
        requestMore(state, now);
      }
    }
  }

  private void admitWaiting(State state, long now) {
    while (!state.waiting.isEmpty() && take(state, now)) {
      Waiting next = state.waiting.pollFirst();
      admitted(next.request(), state, next.sinceMillis(), now);
    }
    int ahead = 0;
    for (Waiting waiting : List.copyOf(state.waiting)) {
      ahead++;
      long remaining = waiting.sinceMillis() + MAX_WAIT_MILLIS - now;
      boolean late =
          state.quota.isExhausted() && state.quota.millisUntilAllowed(ahead, now) > remaining;
      if (late && state.waiting.remove(waiting)) {
        refuse(state, waiting, now);
      }
    }
  }

  /** Admits waiting operations, gives back unused shares, and reports; must be called regularly. */
  public void check() {
    long now = worker.now();
    mayUseShares();
    states.values().removeIf(state -> isUnused(state, now));
    // Copied, because a caller may request another operation as soon as one is decided.
    for (State state : List.copyOf(states.values())) {
      if (!state.waiting.isEmpty()) {
        admitWaiting(state, now);
        requestMore(state, now);
      }
    }
    if (now - completedMillis >= COMPLETE_REPORT_MILLIS && holdsShares.getAsBoolean()) {
      completedMillis = now;
      report(true);
    } else if (now - reportedMillis >= CHANGES_REPORT_MILLIS && !states.isEmpty()) {
      report(false);
    }
  }

  private static boolean isUnused(State state, long now) {
    return state.waiting.isEmpty() && now - state.usedMillis > UNUSED_MILLIS;
  }
}
