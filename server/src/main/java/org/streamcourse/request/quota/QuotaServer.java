package org.streamcourse.request.quota;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * Counts other nodes' operations against this node's shares, as their tenants' quota server.
 *
 * <p>An operation counts from the moment it is admitted, whether the answer arrives or not, until
 * its node reports that it was not run.
 *
 * <p>All methods run on the proxy's worker.
 */
final class QuotaServer {
  /**
   * Longest wait of another node's operation at this node, after which the other node sends the
   * request to the next quota server. The leader grants a larger share within about 150 ms.
   */
  static final long WAIT_MILLIS = 200;

  /** Time after which an admitted operation has left every window and cannot be given back. */
  private static final long RETENTION_MILLIS = 10_000;

  /** Another node's operation. */
  private final class RemoteOperation implements QuotaRequest {
    private final String sender;
    private final int number;
    private final TenantId tenant;
    private final long receivedMillis = worker.now();
    private Disposable waiting = () -> {};
    private QuotaPermit permit = QuotaPermit.UNCOUNTED;
    private boolean decided;

    RemoteOperation(String sender, int number, TenantId tenant) {
      this.sender = sender;
      this.number = number;
      this.tenant = tenant;
    }

    @Override
    public TenantId tenant() {
      return tenant;
    }

    @Override
    public long maxWaitMillis() {
      return WAIT_MILLIS;
    }

    @Override
    public void admitted(QuotaPermit given) {
      decided = true;
      permit = given;
      admitted++;
      outbox.admitted(sender, number);
    }

    @Override
    public void refused(QuotaRefusal refusal) {
      decided = true;
      remove(this);
      outbox.send(
          sender,
          new QuotaMessage.Refused(
              number,
              refusal.reason(),
              refusal.used(),
              refusal.share(),
              refusal.retryAfterMillis()));
    }

    private void notRun() {
      waiting.dispose();
      permit.giveBack();
    }
  }

  private final Worker worker;
  private final QuotaOutbox outbox;
  private final OperationLimits own;
  private final Supplier<ClusterImage> image;
  private final Map<String, Map<Integer, RemoteOperation>> open = new TreeMap<>();
  private volatile long admitted;

  QuotaServer(
      Worker worker, QuotaOutbox outbox, OperationLimits own, Supplier<ClusterImage> image) {
    this.worker = worker;
    this.outbox = outbox;
    this.own = own;
    this.image = image;
  }

  /** Returns the number of other nodes' operations admitted here; thread-safe. */
  long admitted() {
    return admitted;
  }

  void receive(String sender, QuotaMessage.Ask ask) {
    if (ask.tenants().isEmpty()) {
      outbox.send(sender, new QuotaMessage.Admitted(new int[0]));
      return;
    }
    int number = ask.firstNumber();
    for (TenantId tenant : ask.tenants()) {
      admit(new RemoteOperation(sender, number, tenant));
      number++;
    }
  }

  private void admit(RemoteOperation operation) {
    TenantRule rule = image.get().document().tenant(operation.tenant).orElse(null);
    if (rule == null || !rule.isLimited()) {
      // The sender's document has a limit that this node's document lacks, so that this node would
      // admit without counting. The sender sends the request to the next quota server, which may
      // have the same document as the sender.
      operation.refused(
          new QuotaRefusal(
              operation.tenant, QuotaRefusal.Reason.NOT_CONFIRMED, "", 0, 0, WAIT_MILLIS));
      return;
    }
    open.computeIfAbsent(operation.sender, any -> new LinkedHashMap<>())
        .put(operation.number, operation);
    operation.waiting = own.admit(rule, operation);
    if (!operation.decided) {
      outbox.waits(operation.sender, operation.number);
    }
  }

  void receive(String sender, QuotaMessage.NotRun notRun) {
    Map<Integer, RemoteOperation> ofSender = open.get(sender);
    if (ofSender == null) {
      return;
    }
    for (int number : notRun.numbers()) {
      RemoteOperation operation = ofSender.remove(number);
      if (operation != null) {
        operation.notRun();
      }
    }
  }

  private void remove(RemoteOperation operation) {
    Map<Integer, RemoteOperation> ofSender = open.get(operation.sender);
    if (ofSender != null) {
      ofSender.remove(operation.number, operation);
    }
  }

  /**
   * Discards the operations of a node whose link was lost. Admitted ones stay counted; the next
   * incarnation of the node uses other numbers.
   */
  void linkLost(String sender) {
    Map<Integer, RemoteOperation> lost = open.remove(sender);
    if (lost != null) {
      List.copyOf(lost.values()).forEach(operation -> operation.waiting.dispose());
    }
  }

  /** Discards operations that cannot be given back any more; must be called regularly. */
  void check() {
    long now = worker.now();
    open.values()
        .forEach(
            ofSender ->
                ofSender.values().removeIf(each -> now - each.receivedMillis > RETENTION_MILLIS));
    open.values().removeIf(Map::isEmpty);
  }
}
