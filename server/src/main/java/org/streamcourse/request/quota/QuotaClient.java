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
 * Requests admission of operations of tenants with a limit from quota servers. Each tenant has few
 * quota servers, so that its limit is divided into few shares. A request goes to the quota server
 * of the node's region first. When that server does not respond, or has no free share and cannot
 * get any, the request goes to the next one, which has a share of its own. This node counts locally
 * for the tenants whose quota server it is.
 *
 * <p>Other nodes may count operations of this node even while the controllers have not confirmed
 * it.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class QuotaClient implements OperationLimits {
  /**
   * Longest time for which operations of a tenant that has used up its limit are refused without a
   * request to a quota server, whose share may change meanwhile.
   */
  private static final long MAX_LOCAL_REFUSAL_MILLIS = 250;

  /**
   * Number of bits of an incarnation's first operation number; few, so that messages stay small.
   */
  private static final int NUMBER_BITS = 20;

  /**
   * A tenant that has used up its limit. Requests are sent to the quota server again after half of
   * the time until it has capacity, so that operations wait there by then and no capacity is left
   * unused.
   */
  private record UsedUpLimit(QuotaRefusal refusal, long sinceMillis) {
    private long untilMillis() {
      return sinceMillis + Math.min(MAX_LOCAL_REFUSAL_MILLIS, refusal.retryAfterMillis() / 2);
    }

    private long retryAfterMillis(long now) {
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
  private final Map<TenantId, UsedUpLimit> usedUpLimits = new HashMap<>();
  private int lastNumber;

  /**
   * Creates a client without outstanding requests.
   *
   * @param worker the proxy's worker
   * @param network sends messages to other nodes
   * @param own local quotas of this node
   * @param self name of this node
   * @param order which nodes are quota servers
   * @param image the image in force
   * @param incarnation random id of this start of the process; far from those of other starts
   */
  public QuotaClient(
      Worker worker,
      PeerNetwork network,
      TenantQuotas own,
      String self,
      QuotaServerOrder order,
      Supplier<ClusterImage> image,
      long incarnation) {
    this.worker = worker;
    this.self = self;
    this.own = own;
    this.order = order;
    this.image = image;
    this.outbox = new QuotaOutbox(worker, network);
    this.health = new QuotaServerHealth(worker, outbox);
    this.server = new QuotaServer(worker, outbox, own, image);
    this.lastNumber = (int) (incarnation & ((1 << NUMBER_BITS) - 1));
  }

  @Override
  public QuotaCounts counts() {
    return counts;
  }

  /**
   * Counts the operations of other nodes that this node admitted as quota server.
   *
   * @return count since the start; thread-safe
   */
  public long admittedForOthers() {
    return server.admitted();
  }

  /**
   * Counts the times that a quota server became suspected.
   *
   * @return count since the start; thread-safe
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

  /**
   * Refuses an operation without a message while the tenant's limit is known to be used up, so that
   * a tenant that floods causes no load at quota servers.
   */
  private boolean refusesAtOnce(TenantId tenant, QuotaRequest request) {
    UsedUpLimit known = usedUpLimits.get(tenant);
    long now = worker.now();
    if (known == null) {
      return false;
    }
    if (now >= known.untilMillis()) {
      usedUpLimits.remove(tenant);
      return false;
    }
    counts.refused();
    request.refused(known.refusal().withRetryAfter(known.retryAfterMillis(now)));
    return true;
  }

  /**
   * Handles a message of another node.
   *
   * @param sender name of the node
   * @param message the message
   */
  public void receive(String sender, QuotaMessage message) {
    if (message instanceof QuotaMessage.Ask ask) {
      server.receive(sender, ask);
    } else if (message instanceof QuotaMessage.NotRun notRun) {
      server.receive(sender, notRun);
    } else {
      health.recordReply(sender);
      handleDecision(sender, message);
    }
  }

  private void handleDecision(String quotaServer, QuotaMessage message) {
    if (message instanceof QuotaMessage.Admitted admitted) {
      for (int number : admitted.numbers()) {
        QuotaOperation operation = remove(number, quotaServer);
        if (operation != null) {
          operation.admittedByServer(() -> outbox.notRun(quotaServer, number));
        }
      }
    } else if (message instanceof QuotaMessage.Waits waits) {
      for (int number : waits.numbers()) {
        if (quotaServer.equals(quotaServerOf.get(number))) {
          open.get(number).queuedAtServer();
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
   * Handles the loss of the peer link to a node. Requests outstanding there go to the next quota
   * server; an operation that the lost server has admitted stays counted there.
   *
   * @param peer name of the node
   */
  public void linkLost(String peer) {
    server.linkLost(peer);
    retryElsewhere(peer);
  }

  /**
   * Handles messages that were dropped because no peer link to a node could be opened.
   *
   * @param peer name of the node
   * @param messages the dropped messages
   */
  public void undelivered(String peer, List<Object> messages) {
    if (quotaServerOf.containsValue(peer)) {
      health.suspect(peer, "no peer link can be opened");
    }
    for (Object message : messages) {
      if (message instanceof QuotaMessage.Ask ask) {
        for (int i = 0; i < ask.tenants().size(); i++) {
          retryElsewhere(peer, ask.firstNumber() + i);
        }
      }
    }
  }

  private void retryElsewhere(String peer) {
    List<Integer> lost = new ArrayList<>();
    quotaServerOf.forEach(
        (number, quotaServer) -> {
          if (quotaServer.equals(peer)) {
            lost.add(number);
          }
        });
    lost.forEach(number -> retryElsewhere(peer, number));
  }

  private void retryElsewhere(String peer, int number) {
    QuotaOperation operation = remove(number, peer);
    if (operation != null) {
      operation.quotaServerLost();
    }
  }

  /** Handles a confirmation of this node by the controllers. */
  public void confirmed() {
    own.confirmed();
  }

  /** Checks waiting operations, reports and suspected quota servers; must be called regularly. */
  public void check() {
    own.check();
    server.check();
    health.check(node -> image.get().nodes().containsKey(node));
    long now = worker.now();
    usedUpLimits.values().removeIf(each -> now >= each.untilMillis());
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

  void suspectIfNoReplySince(String quotaServer, long sentMillis) {
    health.suspectIfNoReplySince(quotaServer, sentMillis);
  }

  Disposable schedule(long millis, Runnable task) {
    return worker.schedule(millis, task);
  }

  Disposable admitHere(TenantRule rule, QuotaRequest request) {
    return own.admit(rule, request);
  }

  /** Sends a request to a quota server; returns the number of the operation. */
  int request(String quotaServer, QuotaOperation operation) {
    lastNumber++;
    open.put(lastNumber, operation);
    quotaServerOf.put(lastNumber, quotaServer);
    outbox.request(quotaServer, lastNumber, operation.tenant());
    return lastNumber;
  }

  /** Withdraws an operation from a quota server, which must not count it. */
  void withdraw(String quotaServer, int number) {
    if (remove(number, quotaServer) != null) {
      outbox.notRun(quotaServer, number);
    }
  }

  /** Makes operations of the tenant be refused at once for a while. */
  void recordUsedUp(QuotaRefusal refusal) {
    usedUpLimits.put(refusal.tenant(), new UsedUpLimit(refusal, worker.now()));
  }
}
