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
 * Divides tenants' limits at the leader: assigns shares of them to nodes according to the reported
 * demand, and takes back what is not used.
 *
 * <p>An incarnation of a node gets the shares of the node's earlier incarnations with its first
 * report. How much of a share is inherited is not part of the replicated log: a leader that did not
 * assign a share itself takes all of it as inherited while the incarnation is younger than a
 * window.
 *
 * <p>Invariant: the shares of a tenant in the agreed table never add up to more than the limit that
 * was in force when they were assigned. A share is lowered in the table only after its node has
 * lowered it; or a window after an unresponsive node has used it for the last time, which is {@link
 * #HOLD_MILLIS} after the node's last message; or in the same change that assigns it to a later
 * incarnation of the node.
 *
 * <p>All methods run on the controller's worker.
 */
public final class QuotaPlanner {
  /** Age of the last confirmed heartbeat beyond which a node does not use its shares. */
  public static final long HOLD_MILLIS = 11_000;

  /**
   * Margin added to {@link #HOLD_MILLIS} and a window before the shares of an unresponsive node are
   * taken back; allows for slow clocks and for operations in transit to members.
   */
  private static final long LOST_MARGIN_MILLIS = 1_000;

  /** Margin added to a window, after which the usage by earlier incarnations no longer counts. */
  private static final long WINDOW_MARGIN_MILLIS = 200;

  /** Time after which a share is sent again to a node that still reports an older one. */
  private static final long RESEND_MILLIS = 80;

  private static final long ALL_TENANTS_MILLIS = 1_000;

  /** What the planner needs from its controller. */
  public interface Actions {
    /**
     * Returns the time.
     *
     * @return the controller's monotonic clock in milliseconds
     */
    long now();

    /**
     * Proposes a change to the replicated log.
     *
     * @param change the change
     */
    void propose(ClusterChange.QuotaGranted change);

    /**
     * Sends changed shares to a node.
     *
     * @param holder the node's incarnation
     * @param shares changed shares
     * @param confirmed whether to wait until the leadership is confirmed; not necessary for shares
     *     that have just been agreed, and for those that are only lowered
     */
    void sendShares(QuotaHolder holder, List<QuotaShare> shares, boolean confirmed);
  }

  private record SentShare(QuotaShare share, long atMillis) {}

  /** Reports of a node's present incarnation, and the shares sent to it. */
  private static final class NodeState {
    private final Map<TenantId, QuotaDemand> demands = new HashMap<>();
    private final Map<TenantId, SentShare> sentShares = new HashMap<>();
    private final Map<TenantId, Integer> inherited = new HashMap<>();
    private final long run;
    private final long startedMillis;
    private boolean complete;

    NodeState(long run, long startedMillis) {
      this.run = run;
      this.startedMillis = startedMillis;
    }
  }

  /** A proposed share, and the inherited part of it. */
  private record Proposed(int operations, int inherited) {}

  /**
   * Totals that nodes have reported for a tenant during this leadership; lost reports are missing.
   */
  private static final class Totals {
    private long admitted;
    private long refused;

    private void add(QuotaDemand demand) {
      admitted += demand.admitted();
      refused += demand.refused();
    }
  }

  /**
   * Usage of a tenant's limit as known to the leader.
   *
   * @param budget operations in a window that are divided among nodes; 0 without a limit
   * @param shared operations in a window that are assigned to nodes
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
  private final Map<String, Long> lastMessageMillis = new HashMap<>();
  private final Map<TenantId, Totals> totals = new HashMap<>();
  private final Set<TenantId> due = new TreeSet<>();
  private final Map<TenantId, Map<QuotaHolder, Proposed>> proposed = new HashMap<>();
  private boolean proposing;
  private long leadsSince;
  private long allPlannedMillis;

  /**
   * Creates a planner.
   *
   * @param settings settings of tenants' limits
   * @param table the agreed shares
   * @param actions actions of the controller
   */
  QuotaPlanner(QuotaSettings settings, QuotaTable table, Actions actions) {
    this.settings = settings;
    this.table = table;
    this.actions = actions;
  }

  /** Discards all state that is not agreed when a leadership begins or ends. */
  void restart() {
    nodes.clear();
    lastMessageMillis.clear();
    due.clear();
    proposed.clear();
    totals.clear();
    proposing = false;
    leadsSince = actions.now();
    allPlannedMillis = leadsSince;
  }

  /**
   * Returns the usage of a tenant's limit.
   *
   * @param rule the tenant's rule
   * @return shares of nodes and the totals that they reported
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

  /**
   * Records a node's heartbeat; the reply to it allows the node to use its shares for {@link
   * #HOLD_MILLIS}.
   */
  void onHeartbeat(String node) {
    lastMessageMillis.put(node, actions.now());
  }

  /** Handles a node's report of its demands. */
  void onReport(String node, QuotaReport report) {
    long now = actions.now();
    lastMessageMillis.put(node, now);
    long startedMillis = now - report.ageMillis();
    NodeState state = nodes.get(node);
    if (state == null || state.run != report.run()) {
      if (state != null && startedMillis < state.startedMillis) {
        // A late report of an earlier incarnation.
        return;
      }
      state = new NodeState(report.run(), startedMillis);
      nodes.put(node, state);
      inheritShares(node, state);
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

  /**
   * Prepares a node's incarnation at its first report: it inherits the shares of earlier
   * incarnations.
   */
  private void inheritShares(String node, NodeState state) {
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

  /**
   * Handles the agreement on the change that was proposed last; the list is empty if another change
   * was agreed before it.
   */
  void applied(List<QuotaGrant> granted) {
    proposing = false;
    PendingShares pending = new PendingShares();
    for (QuotaGrant grant : granted) {
      due.add(grant.tenant());
      QuotaGrant agreed = table.of(grant.tenant()).get(grant.holder());
      if (agreed != null) {
        recordInherited(agreed);
        QuotaShare share =
            new QuotaShare(
                grant.tenant(),
                agreed.number(),
                agreed.operations(),
                inherited(agreed),
                Integer.MAX_VALUE,
                false);
        addPending(grant.holder(), share, pending.immediate);
      }
    }
    proposed.clear();
    pending.send();
  }

  /**
   * Records the inherited part of an agreed share. A share proposed by a previous leader counts as
   * inherited as a whole.
   */
  private void recordInherited(QuotaGrant agreed) {
    NodeState state = nodes.get(agreed.holder().node());
    if (state == null || state.run != agreed.holder().run()) {
      return;
    }
    Proposed own = proposed.getOrDefault(agreed.tenant(), Map.of()).get(agreed.holder());
    boolean known = own != null && own.operations() == agreed.operations();
    state.inherited.put(agreed.tenant(), known ? own.inherited() : agreed.operations());
  }

  /**
   * Returns the operations of a share that earlier incarnations may have used in the window that
   * ends now.
   */
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

  /**
   * Plans the shares of tenants with new reports, and those of all tenants each {@link
   * #ALL_TENANTS_MILLIS}.
   */
  void check(ClusterImage image) {
    if (proposing || image.document().tenants().isEmpty() && table.tenants().isEmpty()) {
      return;
    }
    if (actions.now() - allPlannedMillis >= ALL_TENANTS_MILLIS) {
      allPlannedMillis = actions.now();
      due.addAll(table.tenants());
    }
    nodes.keySet().removeIf(this::isLost);
    List<QuotaGrant> changes = new ArrayList<>();
    PendingShares pending = new PendingShares();
    for (TenantId tenant : due) {
      int budget = image.document().tenant(tenant).map(this::budget).orElse(0);
      plan(tenant, budget, changes, pending);
    }
    due.clear();
    if (!changes.isEmpty()) {
      proposing = true;
      actions.propose(table.describe(changes));
    }
    pending.send();
  }

  /** Shares to send to nodes. */
  private final class PendingShares {
    private final Map<QuotaHolder, List<QuotaShare>> immediate = new TreeMap<>();
    private final Map<QuotaHolder, List<QuotaShare>> afterConfirmation = new TreeMap<>();

    private void send() {
      immediate.forEach((holder, shares) -> actions.sendShares(holder, shares, false));
      afterConfirmation.forEach((holder, shares) -> actions.sendShares(holder, shares, true));
    }
  }

  private int budget(TenantRule rule) {
    return rule.isLimited() ? settings.budget(rule) : 0;
  }

  private void plan(TenantId tenant, int budget, List<QuotaGrant> changes, PendingShares pending) {
    Map<QuotaHolder, QuotaGrant> granted = table.of(tenant);
    int reserved = 0;
    for (QuotaGrant grant : granted.values()) {
      if (!isPresent(grant.holder())) {
        boolean free = nodes.containsKey(grant.holder().node()) || isLost(grant.holder().node());
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
      int earlier = heldByEarlierRuns(holder, granted);
      if (earlier > 0 && !(demand == null && each.getValue().complete)) {
        // The same change takes the share from the earlier incarnation.
        int all = earlier + (grant == null ? 0 : grant.operations());
        propose(new QuotaGrant(tenant, holder, 0, all), earlier, changes);
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
      decide(tenant, share, granted.get(share.holder()), changes, pending);
    }
  }

  private boolean isPresent(QuotaHolder holder) {
    NodeState state = nodes.get(holder.node());
    return state != null && state.run == holder.run();
  }

  /**
   * Returns the operations held by earlier incarnations of a holder's node, which can't use them
   * any more.
   */
  private static int heldByEarlierRuns(QuotaHolder present, Map<QuotaHolder, QuotaGrant> granted) {
    int operations = 0;
    for (QuotaGrant grant : granted.values()) {
      boolean earlier =
          grant.holder().node().equals(present.node()) && grant.holder().run() != present.run();
      operations += earlier ? grant.operations() : 0;
    }
    return operations;
  }

  /**
   * Proposes a share that contains the given operations of earlier incarnations, besides those
   * inherited before.
   */
  private void propose(QuotaGrant change, int earlier, List<QuotaGrant> changes) {
    QuotaGrant present = table.of(change.tenant()).get(change.holder());
    int inherited = earlier + (present == null ? 0 : inherited(present));
    changes.add(change);
    proposed
        .computeIfAbsent(change.tenant(), any -> new HashMap<>())
        .put(change.holder(), new Proposed(change.operations(), inherited));
  }

  private long lostAfterMillis() {
    return HOLD_MILLIS + settings.windowMillis() + LOST_MARGIN_MILLIS;
  }

  private boolean isLost(String node) {
    return actions.now() - lastMessageMillis.getOrDefault(node, leadsSince) > lostAfterMillis();
  }

  /**
   * Returns the value to which a node with the newest share has lowered it; for other nodes the
   * share itself.
   */
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
      PendingShares pending) {
    int agreed = grant == null ? 0 : grant.operations();
    int held = heldBy(grant, nodes.get(share.holder().node()).demands.get(tenant));
    // Operations that a node has released are assigned again only with a new number.
    if (share.operations() != agreed || share.operations() > held) {
      propose(new QuotaGrant(tenant, share.holder(), 0, share.operations()), 0, changes);
    }
    QuotaDemand demand = nodes.get(share.holder().node()).demands.get(tenant);
    long number = grant == null ? table.number() : grant.number();
    boolean unknown = grant != null && demand.number() < number;
    boolean lost = grant == null && demand.held() > 0 && demand.number() < number;
    boolean lower = share.ceiling() < agreed;
    if (unknown || lost || lower || share.exhausted()) {
      addPending(
          share.holder(),
          new QuotaShare(
              tenant,
              number,
              agreed,
              grant == null ? 0 : inherited(grant),
              share.ceiling(),
              share.exhausted()),
          unknown ? pending.afterConfirmation : pending.immediate);
    }
  }

  /**
   * Adds a share to those that will be sent to a node, unless the same share was sent within {@link
   * #RESEND_MILLIS}.
   */
  private void addPending(
      QuotaHolder holder, QuotaShare share, Map<QuotaHolder, List<QuotaShare>> pending) {
    long now = actions.now();
    NodeState state = nodes.get(holder.node());
    SentShare before = state == null ? null : state.sentShares.get(share.tenant());
    boolean sentRecently =
        before != null && before.share().equals(share) && now - before.atMillis() < RESEND_MILLIS;
    if (state == null || state.run != holder.run() || sentRecently) {
      return;
    }
    state.sentShares.put(share.tenant(), new SentShare(share, now));
    pending.computeIfAbsent(holder, any -> new ArrayList<>()).add(share);
  }
}
