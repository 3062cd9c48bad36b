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
 * Keeps this node's operations within its shares of the tenants' limits, and tells the controllers
 * what it needs: at once when operations wait, otherwise what has changed once a second.
 *
 * <p>An operation without room waits while the controllers may give more, for {@link
 * #ASKED_WAIT_MILLIS} at most, and is then told to come back after the next question; where the
 * limit is used up it is refused at once, with the time at which this node's window has room.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class TenantQuotas implements OperationLimits {
  /** An answer takes two ways to the leader, a round among the controllers, and a look each. */
  static final long ASKED_WAIT_MILLIS = 400;

  /** Least time between two reports, so that what waits at once goes along. */
  private static final long REPORT_GAP_MILLIS = 60;

  /** Time after which an unanswered question for more is asked again. */
  private static final long ASK_AGAIN_MILLIS = 100;

  private static final long CHANGES_MILLIS = 1_000;
  private static final long COMPLETE_MILLIS = 5_000;

  /** Time after its last operation until a tenant's share is given back. */
  private static final long UNUSED_MILLIS = 30_000;

  /** Time from the start of a run until shares of tenants that it has not seen are given back. */
  private static final long SETTLED_MILLIS = 10_000;

  /** Operations of a tenant that wait at once; more would wait for longer than they may. */
  private static final int MOST_WAITING = 64;

  /**
   * Operations beyond those used by which a share is kept larger for bursts. More would keep much
   * of a flooded limit where it is not needed.
   */
  private static final int MOST_FOR_BURSTS = 12;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** An operation that waits. */
  private record Waiting(QuotaRequest request, long sinceMillis) {}

  /** What is known of one tenant. */
  private static final class State {
    private final LocalQuota quota;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private QuotaDemand told;
    private long usedMillis;
    private long askedMillis = NEVER;
    private int admittedSinceTold;
    private int refusedSinceTold;

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
   * @param run number of this run of the node
   * @param holdsShares tells whether the controllers have confirmed this node lately enough
   * @param toLeader brings a report to the leading controller, or loses it
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
      askAhead(state, now);
      return () -> {};
    }
    Waiting waiting = new Waiting(request, now);
    long wait = Math.min(request.maxWaitMillis(), ASKED_WAIT_MILLIS);
    if (mayComeSoon(state, now, wait)) {
      state.waiting.addLast(waiting);
      worker.schedule(wait, () -> expire(state, waiting));
      askAhead(state, now);
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
   * Drops all shares once the last confirmation is too old: the controllers may have given them to
   * others by the time at which the next one comes.
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
    state.admittedSinceTold++;
    counts.admitted(now - since);
    request.admitted(() -> state.quota.giveBack(now, worker.now()));
  }

  /** Whether an operation behind those that wait may have room in time. */
  private static boolean mayComeSoon(State state, long now, long wait) {
    int ahead = state.waiting.size();
    return ahead < MOST_WAITING
        && (!state.quota.isExhausted() || state.quota.roomInMillis(ahead + 1, now) <= wait);
  }

  private void expire(State state, Waiting waiting) {
    if (state.waiting.remove(waiting)) {
      refuse(state, waiting, worker.now());
    }
  }

  private void refuse(State state, Waiting waiting, long now) {
    state.refusedSinceTold++;
    counts.refused();
    QuotaRefusal refusal =
        new QuotaRefusal(
            waiting.request().tenant(),
            reason(state),
            node,
            state.quota.used(now),
            state.quota.held(now),
            retryAfterMillis(state, now));
    askAhead(state, now);
    waiting.request().refused(refusal);
  }

  private QuotaRefusal.Reason reason(State state) {
    if (!holdsShares.getAsBoolean()) {
      return QuotaRefusal.Reason.NOT_CONFIRMED;
    }
    return state.quota.isExhausted() ? QuotaRefusal.Reason.NO_MORE : QuotaRefusal.Reason.NO_ANSWER;
  }

  /** Where more may be given, that takes another question; else this node's window must move on. */
  private static long retryAfterMillis(State state, long now) {
    long room = Math.max(1, state.quota.roomInMillis(state.waiting.size() + 1, now));
    return state.quota.isExhausted() ? room : Math.min(room, ASK_AGAIN_MILLIS);
  }

  /** Asks for more when what was given is used up or nearly so. */
  private void askAhead(State state, long now) {
    boolean isShort = !state.quota.hasRoomFor(state.waiting.size() + 1, now);
    if (isShort && now - state.askedMillis >= ASK_AGAIN_MILLIS) {
      state.askedMillis = now;
      reportSoon(now);
    }
  }

  private void reportSoon(long now) {
    if (!reportScheduled) {
      reportScheduled = true;
      long wait = Math.max(0, reportedMillis + REPORT_GAP_MILLIS - now);
      worker.schedule(wait, () -> report(false));
    }
  }

  /** Reports what has changed, or all. */
  private void report(boolean complete) {
    reportScheduled = false;
    long now = worker.now();
    reportedMillis = now;
    List<QuotaDemand> demands = new ArrayList<>();
    states.forEach(
        (tenant, state) -> {
          QuotaDemand demand = demand(tenant, state, now);
          if (complete || !demand.needsTheSame(state.told) || demand.waiting() > 0) {
            demands.add(demand);
            state.told = demand;
            state.admittedSinceTold = 0;
            state.refusedSinceTold = 0;
          }
        });
    if (complete || !demands.isEmpty()) {
      boolean settled = complete && now - startedMillis >= SETTLED_MILLIS;
      toLeader.accept(new QuotaReport(run, now - startedMillis, settled, demands));
    }
  }

  /** What is told as used: what the pacing needed, but not all that a single burst needed. */
  private static int asUsed(State state, long now) {
    int most = state.quota.used(now) + MOST_FOR_BURSTS;
    return Math.min(most, state.quota.needed(now));
  }

  private static QuotaDemand demand(TenantId tenant, State state, long now) {
    return new QuotaDemand(
        tenant,
        state.quota.number(),
        state.quota.held(now),
        asUsed(state, now),
        state.waiting.size(),
        state.admittedSinceTold,
        state.refusedSinceTold);
  }

  /**
   * Takes in a leader's word.
   *
   * @param news what the leader said
   */
  public void receive(QuotaNews news) {
    mayUseShares();
    if (news.run() != run || lapsed) {
      // What was said before a lapse may have been given to others; the leader says it again.
      return;
    }
    long now = worker.now();
    for (QuotaShare share : news.shares()) {
      if (share.inherited() > 0) {
        // A former run's share is kept ready, so that the first operation need not ask for it.
        state(share.tenant()).usedMillis = now;
      }
      State state = states.get(share.tenant());
      if (state != null) {
        takeIn(share, state.quota, now);
        serveWaiting(state, now);
      }
    }
  }

  private static void takeIn(QuotaShare share, LocalQuota quota, long now) {
    quota.told(
        share.number(),
        share.operations(),
        share.inherited(),
        share.ceiling(),
        share.exhausted(),
        now);
  }

  /**
   * The controllers have confirmed this node: its shares may be used, and it is known who leads, so
   * what waits is asked for at once. A node that starts asks controllers that do not lead before.
   */
  public void confirmed() {
    long now = worker.now();
    if (completedMillis == NEVER) {
      // The leader hears of this run and of all that waits, and gives it what the former run had.
      completedMillis = now;
      report(true);
      states.values().forEach(state -> state.askedMillis = now);
      return;
    }
    for (State state : List.copyOf(states.values())) {
      if (!state.waiting.isEmpty()) {
        serveWaiting(state, now);
        state.askedMillis = NEVER;
        askAhead(state, now);
      }
    }
  }

  private void serveWaiting(State state, long now) {
    while (!state.waiting.isEmpty() && take(state, now)) {
      Waiting next = state.waiting.pollFirst();
      admitted(next.request(), state, next.sinceMillis(), now);
    }
    int ahead = 0;
    for (Waiting waiting : List.copyOf(state.waiting)) {
      ahead++;
      long left = waiting.sinceMillis() + ASKED_WAIT_MILLIS - now;
      boolean late = state.quota.isExhausted() && state.quota.roomInMillis(ahead, now) > left;
      if (late && state.waiting.remove(waiting)) {
        refuse(state, waiting, now);
      }
    }
  }

  /** Serves what waits, gives back what is not used, and reports; to be called regularly. */
  public void check() {
    long now = worker.now();
    mayUseShares();
    states.values().removeIf(state -> isUnused(state, now));
    // A copy, since an operation that is served or refused may be followed by another one at once.
    for (State state : List.copyOf(states.values())) {
      if (!state.waiting.isEmpty()) {
        serveWaiting(state, now);
        askAhead(state, now);
      }
    }
    if (now - completedMillis >= COMPLETE_MILLIS && holdsShares.getAsBoolean()) {
      completedMillis = now;
      report(true);
    } else if (now - reportedMillis >= CHANGES_MILLIS && !states.isEmpty()) {
      report(false);
    }
  }

  private static boolean isUnused(State state, long now) {
    return state.waiting.isEmpty() && now - state.usedMillis > UNUSED_MILLIS;
  }
}
