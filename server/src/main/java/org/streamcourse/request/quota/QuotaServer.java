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
 * The side of a quota server: counts other nodes' operations against this node's shares.
 *
 * <p>An operation counts from the moment it is admitted, whether the answer arrives or not, until
 * its node says that it was not run.
 *
 * <p>All methods run on the proxy's worker.
 */
final class QuotaServer {
  /**
   * Time for which another node's operation waits here. The leader gives more of a limit within
   * some 150 ms; then the node asks the next quota server.
   */
  static final long WAIT_MILLIS = 200;

  /** Time after which an admitted operation has left every window that matters. */
  private static final long KEPT_MILLIS = 10_000;

  /** Another node's operation. */
  private final class Asked implements QuotaRequest {
    private final String sender;
    private final int number;
    private final TenantId tenant;
    private final long askedMillis = worker.now();
    private Disposable waiting = () -> {};
    private QuotaPermit permit = QuotaPermit.UNCOUNTED;
    private boolean decided;

    Asked(String sender, int number, TenantId tenant) {
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
      counted++;
      outbox.admitted(sender, number);
    }

    @Override
    public void refused(QuotaRefusal refusal) {
      decided = true;
      forget(this);
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
  private final Map<String, Map<Integer, Asked>> open = new TreeMap<>();
  private volatile long counted;

  QuotaServer(
      Worker worker, QuotaOutbox outbox, OperationLimits own, Supplier<ClusterImage> image) {
    this.worker = worker;
    this.outbox = outbox;
    this.own = own;
    this.image = image;
  }

  /** Number of other nodes' operations that were admitted here; safe from any thread. */
  long counted() {
    return counted;
  }

  void receive(String sender, QuotaMessage.Ask ask) {
    if (ask.tenants().isEmpty()) {
      outbox.send(sender, new QuotaMessage.Admitted(new int[0]));
      return;
    }
    int number = ask.firstNumber();
    for (TenantId tenant : ask.tenants()) {
      ask(new Asked(sender, number, tenant));
      number++;
    }
  }

  private void ask(Asked asked) {
    TenantRule rule = image.get().document().tenant(asked.tenant).orElse(null);
    if (rule == null || !rule.isLimited()) {
      // This node's document is another one than the sender's, and admits without counting; the
      // next quota server may have the sender's.
      asked.refused(
          new QuotaRefusal(asked.tenant, QuotaRefusal.Reason.NOT_CONFIRMED, "", 0, 0, WAIT_MILLIS));
      return;
    }
    open.computeIfAbsent(asked.sender, any -> new LinkedHashMap<>()).put(asked.number, asked);
    asked.waiting = own.admit(rule, asked);
    if (!asked.decided) {
      outbox.waits(asked.sender, asked.number);
    }
  }

  void receive(String sender, QuotaMessage.NotRun notRun) {
    Map<Integer, Asked> ofSender = open.get(sender);
    if (ofSender == null) {
      return;
    }
    for (int number : notRun.numbers()) {
      Asked asked = ofSender.remove(number);
      if (asked != null) {
        asked.notRun();
      }
    }
  }

  private void forget(Asked asked) {
    Map<Integer, Asked> ofSender = open.get(asked.sender);
    if (ofSender != null) {
      ofSender.remove(asked.number, asked);
    }
  }

  /** What the sender's run was given counts as used; a later run uses other numbers. */
  void linkLost(String sender) {
    Map<Integer, Asked> lost = open.remove(sender);
    if (lost != null) {
      List.copyOf(lost.values()).forEach(asked -> asked.waiting.dispose());
    }
  }

  /** Forgets what can't be given back any more; to be called regularly. */
  void check() {
    long now = worker.now();
    open.values()
        .forEach(
            ofSender -> ofSender.values().removeIf(each -> now - each.askedMillis > KEPT_MILLIS));
    open.values().removeIf(Map::isEmpty);
  }
}
