package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.version.control.ControlMessage.QuotaDemand;
import org.streamcourse.version.control.ControlMessage.QuotaReport;
import org.streamcourse.version.control.ControlMessage.QuotaShare;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.QuotaGrant;
import org.streamcourse.version.image.QuotaHolder;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;

/**
 * The leader's part in the limits of tenants: gives nodes shares of them by what they report, and
 * takes back what is not used.
 *
 * <p>A run of a node gets the shares of the node's former runs with the first word that is heard of
 * it. How much of a share is inherited is not agreed: a leader that did not give a share itself
 * takes all of it as inherited while the run is younger than a window.
 *
 * <p>Invariant: the shares of a tenant in the agreed table are never more together than its limit
 * in force when they were given. A share is lowered in the table only after its node has lowered
 * it, or a window after a node that is not heard has used it for the last time, {@link
 * #HOLD_MILLIS} after its last word, or in the same change that gives it to a later run of the
 * node.
 *
 * <p>All methods run on the controller's worker.
 */
public final class QuotaPlanner {
  /** Age of the last confirmed heartbeat beyond which a node makes no use of its shares. */
  public static final long HOLD_MILLIS = 11_000;

  /**
   * Time beyond {@link #HOLD_MILLIS} and a window after which a silent node's shares are taken
   * back; for slow clocks, and operations on their way to members.
   */
  private static final long GONE_MARGIN_MILLIS = 1_000;

  /** Time added to a window before it does not matter any more what a former run used. */
  private static final long WINDOW_MARGIN_MILLIS = 200;

  /** Time after which a node that still reports an older share is told again. */
  private static final long TELL_AGAIN_MILLIS = 80;

  private static final long ALL_TENANTS_MILLIS = 1_000;

  /** What the planner needs from its controller. */
  public interface Actions {
    /**
     * Tells the time.
     *
     * @return the controller's monotonic clock in milliseconds
     */
    long now();

    /**
     * Proposes a change to the replicated log.
     *
     * @param change what to agree on
     */
    void propose(ClusterChange.QuotaGranted change);

    /**
     * Tells a node of its shares.
     *
     * @param holder the node's run
     * @param shares what has changed there
     * @param confirmed whether to wait until the leadership is confirmed; needless for what has
     *     just been agreed, and for what only lowers a share
     */
    void tell(QuotaHolder holder, List<QuotaShare> shares, boolean confirmed);
  }

  private record Told(QuotaShare share, long atMillis) {}

  /** What the present run of a node reported, and what it was told. */
  private static final class NodeState {
    private final Map<TenantId, QuotaDemand> demands = new HashMap<>();
    private final Map<TenantId, Told> told = new HashMap<>();
    private final Map<TenantId, Integer> inherited = new HashMap<>();
    private final long run;
    private final long startedMillis;
    private boolean complete;

    NodeState(long run, long startedMillis) {
      this.run = run;
      this.startedMillis = startedMillis;
    }
  }

  /** A share that is being agreed on, and what of it is inherited. */
  private record Proposed(int operations, int inherited) {}

  /** What nodes reported of a tenant since this leadership began; lost reports are missing. */
  private static final class Totals {
    private long admitted;
    private long refused;

    private void add(QuotaDemand demand) {
      admitted += demand.admitted();
      refused += demand.refused();
    }
  }

  /**
   * What the leader knows of a tenant's limit.
   *
   * @param budget operations in a window that are shared out; 0 without a limit
   * @param shared operations in a window that nodes hold
   * @param holders number of shares
   * @param admitted operations admitted since this leadership began
   * @param refused operations refused since this leadership began
   * @param sinceMillis time since this leadership began
   */
  public record Usage(
      int budget, int shared, int holders, long admitted, long refused, long sinceMillis) {}

  private final QuotaSettings settings;
  private final Actions actions;
  private final QuotaTable table;
  private final Map<String, NodeState> nodes = new TreeMap<>();
  private final Map<String, Long> lastHeard = new HashMap<>();
  private final Map<TenantId, Totals> totals = new HashMap<>();
  private final Set<TenantId> due = new TreeSet<>();
  private final Map<TenantId, Map<QuotaHolder, Proposed>> proposed = new HashMap<>();
  private boolean proposing;
  private long leadsSince;
  private long allPlannedMillis;

  /**
   * Creates a planner.
   *
   * @param settings how limits are counted
   * @param table the agreed shares
   * @param actions what it may do
   */
  QuotaPlanner(QuotaSettings settings, QuotaTable table, Actions actions) {
    this.settings = settings;
    this.table = table;
    this.actions = actions;
  }

  /** Forgets everything that is not agreed, as a leadership begins or ends. */
  void restart() {
    nodes.clear();
    lastHeard.clear();
    due.clear();
    proposed.clear();
    totals.clear();
    proposing = false;
    leadsSince = actions.now();
    allPlannedMillis = leadsSince;
  }

  /**
   * Tells what is known of a tenant's limit.
   *
   * @param rule the tenant's rule
   * @return what nodes hold and have reported
   */
  public Usage usage(TenantRule rule) {
    Map<QuotaHolder, QuotaGrant> grants = table.of(rule.id());
    Totals total = totals.getOrDefault(rule.id(), new Totals());
    return new Usage(
        budget(rule),
        grants.values().stream().mapToInt(QuotaGrant::operations).sum(),
        grants.size(),
        total.admitted,
        total.refused,
        actions.now() - leadsSince);
  }

  /** A node's heartbeat came; its answer lets the node make use of its shares for a while. */
  void heartbeat(String node) {
    lastHeard.put(node, actions.now());
  }

  /** A node told what it needs. */
  void heard(String node, QuotaReport report) {
    long now = actions.now();
    lastHeard.put(node, now);
    long startedMillis = now - report.ageMillis();
    NodeState state = nodes.get(node);
    if (state == null || state.run != report.run()) {
      if (state != null && startedMillis < state.startedMillis) {
        // A late word of a former run.
        return;
      }
      state = new NodeState(report.run(), startedMillis);
      nodes.put(node, state);
      meet(node, state);
    }
    if (report.complete()) {
      due.addAll(state.demands.keySet());
      state.demands.clear();
      state.complete = true;
    }
    for (QuotaDemand demand : report.demands()) {
      state.demands.put(demand.tenant(), demand);
      totals.computeIfAbsent(demand.tenant(), any -> new Totals()).add(demand);
      due.add(demand.tenant());
    }
  }

  /** A run is heard for the first time: it gets what former runs had. */
  private void meet(String node, NodeState state) {
    QuotaHolder present = new QuotaHolder(node, state.run);
    for (TenantId tenant : table.tenants()) {
      for (QuotaGrant grant : table.of(tenant).values()) {
        if (grant.holder().equals(present)) {
          state.inherited.put(tenant, grant.operations());
          due.add(tenant);
        } else if (grant.holder().node().equals(node)) {
          due.add(tenant);
        }
      }
    }
  }

  /** The change proposed last is agreed, and has had an effect unless another one came before. */
  void applied(List<QuotaGrant> granted) {
    proposing = false;
    News news = new News();
    for (QuotaGrant grant : granted) {
      due.add(grant.tenant());
      QuotaGrant agreed = table.of(grant.tenant()).get(grant.holder());
      if (agreed != null) {
        noteInherited(agreed);
        QuotaShare share =
            new QuotaShare(
                grant.tenant(),
                agreed.number(),
                agreed.operations(),
                inherited(agreed),
                Integer.MAX_VALUE,
                false);
        tell(grant.holder(), share, news.safe);
      }
    }
    proposed.clear();
    news.send();
  }

  /** What a former leader had proposed may be inherited as a whole. */
  private void noteInherited(QuotaGrant agreed) {
    NodeState state = nodes.get(agreed.holder().node());
    if (state == null || state.run != agreed.holder().run()) {
      return;
    }
    Proposed own = proposed.getOrDefault(agreed.tenant(), Map.of()).get(agreed.holder());
    boolean known = own != null && own.operations() == agreed.operations();
    state.inherited.put(agreed.tenant(), known ? own.inherited() : agreed.operations());
  }

  /** Operations of a share that may have been used by former runs in the window that ends now. */
  private int inherited(QuotaGrant grant) {
    NodeState state = nodes.get(grant.holder().node());
    if (state == null || state.run != grant.holder().run()) {
      return grant.operations();
    }
    boolean young = actions.now() - state.startedMillis <= settleMillis();
    int inherited = state.inherited.getOrDefault(grant.tenant(), 0);
    return young ? Math.min(grant.operations(), inherited) : 0;
  }

  private long settleMillis() {
    return settings.windowMillis() + WINDOW_MARGIN_MILLIS;
  }

  /** Plans for the tenants of which something was heard, and now and then for all. */
  void check(ClusterImage image) {
    if (proposing || image.document().tenants().isEmpty() && table.tenants().isEmpty()) {
      return;
    }
    if (actions.now() - allPlannedMillis >= ALL_TENANTS_MILLIS) {
      allPlannedMillis = actions.now();
      due.addAll(table.tenants());
    }
    nodes.keySet().removeIf(this::isGone);
    List<QuotaGrant> changes = new ArrayList<>();
    News news = new News();
    for (TenantId tenant : due) {
      int budget = image.document().tenant(tenant).map(this::budget).orElse(0);
      plan(tenant, budget, changes, news);
    }
    due.clear();
    if (!changes.isEmpty()) {
      proposing = true;
      actions.propose(table.describe(changes));
    }
    news.send();
  }

  /** What nodes will be told. */
  private final class News {
    private final Map<QuotaHolder, List<QuotaShare>> safe = new TreeMap<>();
    private final Map<QuotaHolder, List<QuotaShare>> toConfirm = new TreeMap<>();

    private void send() {
      safe.forEach((holder, shares) -> actions.tell(holder, shares, false));
      toConfirm.forEach((holder, shares) -> actions.tell(holder, shares, true));
    }
  }

  private int budget(TenantRule rule) {
    return rule.isLimited() ? settings.budget(rule) : 0;
  }

  private void plan(TenantId tenant, int budget, List<QuotaGrant> changes, News news) {
    Map<QuotaHolder, QuotaGrant> granted = table.of(tenant);
    int reserved = 0;
    for (QuotaGrant grant : granted.values()) {
      if (!isPresent(grant.holder())) {
        boolean free = nodes.containsKey(grant.holder().node()) || isGone(grant.holder().node());
        reserved += free ? 0 : grant.operations();
        if (free) {
          changes.add(new QuotaGrant(tenant, grant.holder(), 0, 0));
        }
      }
    }
    List<QuotaPlan.Need> needs = new ArrayList<>();
    for (Map.Entry<String, NodeState> each : nodes.entrySet()) {
      QuotaHolder holder = new QuotaHolder(each.getKey(), each.getValue().run);
      QuotaGrant grant = granted.get(holder);
      QuotaDemand demand = each.getValue().demands.get(tenant);
      int former = ofFormerRuns(holder, granted);
      if (former > 0 && !(demand == null && each.getValue().complete)) {
        // Within this change it is taken from the former run.
        int all = former + (grant == null ? 0 : grant.operations());
        propose(new QuotaGrant(tenant, holder, 0, all), former, changes);
        reserved += all;
      } else if (demand != null) {
        int held = heldBy(grant, demand);
        needs.add(new QuotaPlan.Need(holder, held, demand.used(), demand.shortBy()));
      } else if (grant != null && each.getValue().complete) {
        changes.add(new QuotaGrant(tenant, holder, 0, 0));
      } else if (grant != null) {
        reserved += grant.operations();
      }
    }
    for (QuotaPlan.Share share : QuotaPlan.divide(budget, reserved, needs)) {
      decide(tenant, share, granted.get(share.holder()), changes, news);
    }
  }

  private boolean isPresent(QuotaHolder holder) {
    NodeState state = nodes.get(holder.node());
    return state != null && state.run == holder.run();
  }

  /** What former runs of a holder's node have; nothing of it may be used any more by them. */
  private static int ofFormerRuns(QuotaHolder present, Map<QuotaHolder, QuotaGrant> granted) {
    int operations = 0;
    for (QuotaGrant grant : granted.values()) {
      boolean former =
          grant.holder().node().equals(present.node()) && grant.holder().run() != present.run();
      operations += former ? grant.operations() : 0;
    }
    return operations;
  }

  /** Proposes a share that holds so much of former runs, besides what was inherited before. */
  private void propose(QuotaGrant change, int former, List<QuotaGrant> changes) {
    QuotaGrant present = table.of(change.tenant()).get(change.holder());
    int inherited = former + (present == null ? 0 : inherited(present));
    changes.add(change);
    proposed
        .computeIfAbsent(change.tenant(), any -> new HashMap<>())
        .put(change.holder(), new Proposed(change.operations(), inherited));
  }

  private long goneMillis() {
    return HOLD_MILLIS + settings.windowMillis() + GONE_MARGIN_MILLIS;
  }

  private boolean isGone(String node) {
    return actions.now() - lastHeard.getOrDefault(node, leadsSince) > goneMillis();
  }

  /** What a node that knows its newest share has lowered it to, else the share itself. */
  private static int heldBy(QuotaGrant grant, QuotaDemand demand) {
    if (grant == null) {
      return 0;
    }
    boolean knows = demand.number() == grant.number();
    return knows ? Math.min(grant.operations(), demand.held()) : grant.operations();
  }

  private void decide(
      TenantId tenant,
      QuotaPlan.Share share,
      QuotaGrant grant,
      List<QuotaGrant> changes,
      News news) {
    int agreed = grant == null ? 0 : grant.operations();
    int held = heldBy(grant, nodes.get(share.holder().node()).demands.get(tenant));
    // What a node has given up comes back only with a new number.
    if (share.operations() != agreed || share.operations() > held) {
      propose(new QuotaGrant(tenant, share.holder(), 0, share.operations()), 0, changes);
    }
    QuotaDemand demand = nodes.get(share.holder().node()).demands.get(tenant);
    long number = grant == null ? table.number() : grant.number();
    boolean unknown = grant != null && demand.number() < number;
    boolean lost = grant == null && demand.held() > 0 && demand.number() < number;
    boolean lower = share.ceiling() < agreed;
    if (unknown || lost || lower || share.exhausted()) {
      tell(
          share.holder(),
          new QuotaShare(
              tenant,
              number,
              agreed,
              grant == null ? 0 : inherited(grant),
              share.ceiling(),
              share.exhausted()),
          unknown ? news.toConfirm : news.safe);
    }
  }

  /** Adds to what a node will be told, unless it was told the same a moment ago. */
  private void tell(QuotaHolder holder, QuotaShare share, Map<QuotaHolder, List<QuotaShare>> news) {
    long now = actions.now();
    NodeState state = nodes.get(holder.node());
    Told before = state == null ? null : state.told.get(share.tenant());
    boolean repeated =
        before != null
            && before.share().equals(share)
            && now - before.atMillis() < TELL_AGAIN_MILLIS;
    if (state == null || state.run != holder.run() || repeated) {
      return;
    }
    state.told.put(share.tenant(), new Told(share, now));
    news.computeIfAbsent(holder, any -> new ArrayList<>()).add(share);
  }
}
