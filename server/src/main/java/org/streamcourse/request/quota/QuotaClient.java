package org.streamcourse.request.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * Has a tenant's operations counted at few nodes, its quota servers, so that a limit is divided
 * into few shares. An operation goes to the quota server of its node's region; where that one is
 * silent, or has no room and can't get any, the next quota server is asked with what that one may
 * do. This node counts itself for the tenants whose quota server it is.
 *
 * <p>Whether the controllers have confirmed this node does not matter for what others count.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class QuotaClient implements OperationLimits {
  /**
   * Longest time for which operations of a tenant that has used up its limit are refused without
   * asking; its share may change meanwhile.
   */
  private static final long MOST_CLOSED_MILLIS = 250;

  /** Bits of an operation's first number: few, since each message carries one. */
  private static final int NUMBER_BITS = 20;

  /**
   * A tenant that has used up its limit. The quota server is asked again after half of the time at
   * which it has room again, so that some operations wait there by then, and no room is left
   * unused.
   */
  private record Closed(QuotaRefusal refusal, long sinceMillis) {
    private long untilMillis() {
      return sinceMillis + Math.min(MOST_CLOSED_MILLIS, refusal.retryAfterMillis() / 2);
    }

    private long roomInMillis(long now) {
      return Math.max(1, sinceMillis + refusal.retryAfterMillis() - now);
    }
  }

  private final Worker worker;
  private final String self;
  private final TenantQuotas own;
  private final QuotaServerOrder order;
  private final Supplier<ClusterImage> image;
  private final QuotaOutbox outbox;
  private final QuotaServerHealth health;
  private final QuotaServer server;
  private final QuotaCounts counts = new QuotaCounts();
  private final Map<Integer, QuotaOperation> open = new HashMap<>();
  private final Map<Integer, String> quotaServerOf = new HashMap<>();
  private final Map<TenantId, Closed> closed = new HashMap<>();
  private int lastNumber;

  /**
   * Creates limits that ask nobody yet.
   *
   * @param worker the proxy's worker
   * @param network way to the other nodes
   * @param own shares of this node
   * @param self name of this node
   * @param order which nodes are quota servers
   * @param image the image in force
   * @param run number of this run of the node; far from those of other runs
   */
  public QuotaClient(
      Worker worker,
      PeerNetwork network,
      TenantQuotas own,
      String self,
      QuotaServerOrder order,
      Supplier<ClusterImage> image,
      long run) {
    this.worker = worker;
    this.self = self;
    this.own = own;
    this.order = order;
    this.image = image;
    this.outbox = new QuotaOutbox(worker, network);
    this.health = new QuotaServerHealth(worker, outbox);
    this.server = new QuotaServer(worker, outbox, own, image);
    this.lastNumber = (int) (run & ((1 << NUMBER_BITS) - 1));
  }

  @Override
  public QuotaCounts counts() {
    return counts;
  }

  /**
   * Returns how many operations of other nodes were admitted here.
   *
   * @return count since the start; safe from any thread
   */
  public long countedForOthers() {
    return server.counted();
  }

  /**
   * Returns how often a quota server was found silent.
   *
   * @return count since the start; safe from any thread
   */
  public long suspicions() {
    return health.suspicions();
  }

  @Override
  public Disposable admit(TenantRule rule, QuotaRequest request) {
    if (!rule.isLimited()) {
      request.admitted(QuotaPermit.UNCOUNTED);
      return () -> {};
    }
    if (refusesAtOnce(rule.id(), request)) {
      return () -> {};
    }
    List<String> quotaServers = order.of(image.get().nodes(), rule.id());
    QuotaOperation operation = new QuotaOperation(this, rule, request, quotaServers);
    operation.start();
    return operation::cancel;
  }

  /** A tenant that floods costs nobody a message while its limit is known to be used up. */
  private boolean refusesAtOnce(TenantId tenant, QuotaRequest request) {
    Closed known = closed.get(tenant);
    long now = worker.now();
    if (known == null) {
      return false;
    }
    if (now >= known.untilMillis()) {
      closed.remove(tenant);
      return false;
    }
    counts.refused();
    request.refused(known.refusal().withRetryAfter(known.roomInMillis(now)));
    return true;
  }

  /**
   * Handles a message of another node.
   *
   * @param sender name of the node
   * @param message what arrived
   */
  public void receive(String sender, QuotaMessage message) {
    if (message instanceof QuotaMessage.Ask ask) {
      server.receive(sender, ask);
    } else if (message instanceof QuotaMessage.NotRun notRun) {
      server.receive(sender, notRun);
    } else {
      health.heard(sender);
      decided(sender, message);
    }
  }

  private void decided(String quotaServer, QuotaMessage message) {
    if (message instanceof QuotaMessage.Admitted admitted) {
      for (int number : admitted.numbers()) {
        QuotaOperation operation = remove(number, quotaServer);
        if (operation != null) {
          operation.admittedThere(() -> outbox.notRun(quotaServer, number));
        }
      }
    } else if (message instanceof QuotaMessage.Waits waits) {
      for (int number : waits.numbers()) {
        if (quotaServer.equals(quotaServerOf.get(number))) {
          open.get(number).waitsThere();
        }
      }
    } else if (message instanceof QuotaMessage.Refused refused) {
      QuotaOperation operation = remove(refused.number(), quotaServer);
      if (operation != null) {
        operation.refused(
            new QuotaRefusal(
                operation.tenant(),
                refused.reason(),
                quotaServer,
                refused.used(),
                refused.share(),
                refused.retryAfterMillis()));
      }
    }
  }

  private QuotaOperation remove(int number, String quotaServer) {
    return quotaServerOf.remove(number, quotaServer) ? open.remove(number) : null;
  }

  /**
   * The link to a node broke. What it was asked does not run here, and counts there if it was
   * admitted.
   *
   * @param peer name of the node
   */
  public void linkLost(String peer) {
    server.linkLost(peer);
    loseQuotaServer(peer);
  }

  /**
   * No link to a node came about.
   *
   * @param peer name of the node
   * @param messages what was dropped on the way to it
   */
  public void undelivered(String peer, List<Object> messages) {
    if (quotaServerOf.containsValue(peer)) {
      health.suspect(peer, "no link comes about");
    }
    for (Object message : messages) {
      if (message instanceof QuotaMessage.Ask ask) {
        for (int i = 0; i < ask.tenants().size(); i++) {
          loseQuotaServer(peer, ask.firstNumber() + i);
        }
      }
    }
  }

  private void loseQuotaServer(String peer) {
    List<Integer> lost = new ArrayList<>();
    quotaServerOf.forEach(
        (number, quotaServer) -> {
          if (quotaServer.equals(peer)) {
            lost.add(number);
          }
        });
    lost.forEach(number -> loseQuotaServer(peer, number));
  }

  private void loseQuotaServer(String peer, int number) {
    QuotaOperation operation = remove(number, peer);
    if (operation != null) {
      operation.quotaServerLost();
    }
  }

  /** The controllers have confirmed this node. */
  public void confirmed() {
    own.confirmed();
  }

  /** Looks after waiting operations, reports and silent quota servers; to be called regularly. */
  public void check() {
    own.check();
    server.check();
    health.check(node -> image.get().nodes().containsKey(node));
    long now = worker.now();
    closed.values().removeIf(each -> now >= each.untilMillis());
  }

  // ---- for operations ----

  long now() {
    return worker.now();
  }

  String self() {
    return self;
  }

  boolean isSelf(String node) {
    return self.equals(node);
  }

  boolean isSuspected(String quotaServer) {
    return health.isSuspected(quotaServer);
  }

  void silentSince(String quotaServer, long askedMillis) {
    health.silentSince(quotaServer, askedMillis);
  }

  Disposable schedule(long millis, Runnable task) {
    return worker.schedule(millis, task);
  }

  Disposable admitHere(TenantRule rule, QuotaRequest request) {
    return own.admit(rule, request);
  }

  /** Asks a quota server; returns the operation's number there. */
  int ask(String quotaServer, QuotaOperation operation) {
    lastNumber++;
    open.put(lastNumber, operation);
    quotaServerOf.put(lastNumber, quotaServer);
    outbox.ask(quotaServer, lastNumber, operation.tenant());
    return lastNumber;
  }

  /** The operation does not run by what this quota server decides, or has decided. */
  void leave(String quotaServer, int number) {
    if (remove(number, quotaServer) != null) {
      outbox.notRun(quotaServer, number);
    }
  }

  /** Operations of the tenant are refused at once for a while. */
  void usedUp(QuotaRefusal refusal) {
    closed.put(refusal.tenant(), new Closed(refusal, worker.now()));
  }
}
