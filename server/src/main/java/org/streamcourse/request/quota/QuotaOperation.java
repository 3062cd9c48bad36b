package org.streamcourse.request.quota;

import java.util.List;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * One operation that requests admission from the quota servers of its tenant, one after the other.
 * Before the request goes to the next server, the previous one has refused it or is notified that
 * the operation does not run by its decision.
 */
final class QuotaOperation implements QuotaRequest {
  /** Longest total wait at all quota servers, and greatest age of a permit that is used. */
  private static final long MAX_WAIT_MILLIS = 450;

  /**
   * Time within which a quota server must send a first reply: a round trip between regions, 40 ms,
   * and a delay at a busy quota server.
   */
  private static final long FIRST_REPLY_MILLIS = 100;

  /**
   * Time within which a quota server that has replied must decide: its own wait and a round trip.
   */
  private static final long DECISION_MILLIS = QuotaServer.WAIT_MILLIS + 50;

  /** Time to retry after no quota server responded; suspected ones are probed again meanwhile. */
  private static final long RETRY_MILLIS = 200;

  private static final String NONE = "";

  private final QuotaClient client;
  private final TenantRule rule;
  private final QuotaRequest request;
  private final List<String> quotaServers;
  private final long sinceMillis;
  private int next;
  private boolean sent;
  private boolean ended;
  private String quotaServer = NONE;
  private int number;
  private long sentMillis;
  private QuotaRefusal lastRefusal;
  private Disposable timer = () -> {};
  private Disposable waitingHere = () -> {};

  QuotaOperation(
      QuotaClient client, TenantRule rule, QuotaRequest request, List<String> quotaServers) {
    this.client = client;
    this.rule = rule;
    this.request = request;
    this.quotaServers = quotaServers;
    this.sinceMillis = client.now();
  }

  void start() {
    requestNext();
  }

  /** Cancels the operation; no decision is reported any more. */
  void cancel() {
    if (!ended) {
      withdraw();
      ended = true;
    }
  }

  private void requestNext() {
    timer.dispose();
    quotaServer = nextQuotaServer();
    if (quotaServer.isEmpty() || remainingMillis() <= 0) {
      refuse();
      return;
    }
    sent = true;
    sentMillis = client.now();
    if (client.isSelf(quotaServer)) {
      waitingHere = client.admitHere(rule, this);
    } else {
      number = client.request(quotaServer, this);
      timer = client.schedule(FIRST_REPLY_MILLIS, this::firstReplyTimedOut);
    }
  }

  /**
   * Returns the next quota server that is not suspected. If all are suspected, returns the first
   * one, so that at least one request is sent.
   */
  private String nextQuotaServer() {
    while (next < quotaServers.size()) {
      String candidate = quotaServers.get(next);
      next++;
      if (!client.isSuspected(candidate)) {
        return candidate;
      }
    }
    return sent || quotaServers.isEmpty() ? NONE : quotaServers.get(0);
  }

  private long remainingMillis() {
    long longest = Math.min(MAX_WAIT_MILLIS, request.maxWaitMillis());
    return sinceMillis + longest - client.now();
  }

  // ---- time-outs ----

  private void firstReplyTimedOut() {
    client.suspectIfNoReplySince(quotaServer, sentMillis);
    decisionTimedOut();
  }

  private void decisionTimedOut() {
    withdraw();
    requestNext();
  }

  private void withdraw() {
    timer.dispose();
    waitingHere.dispose();
    if (!quotaServer.isEmpty() && !client.isSelf(quotaServer)) {
      client.withdraw(quotaServer, number);
    }
  }

  /** Called when the operation waits at the quota server. */
  void queuedAtServer() {
    timer.dispose();
    long remaining = sentMillis + DECISION_MILLIS - client.now();
    timer = client.schedule(Math.max(0, remaining), this::decisionTimedOut);
  }

  /** Called when the quota server cannot be reached. */
  void quotaServerLost() {
    if (!ended) {
      requestNext();
    }
  }

  // ---- outcomes ----

  /**
   * Called when the quota server has admitted the operation. The permit may be too old, for
   * instance after this process was frozen; then it is given back.
   */
  void admittedByServer(QuotaPermit permit) {
    if (client.now() - sentMillis > MAX_WAIT_MILLIS) {
      permit.giveBack();
      requestNext();
    } else {
      admitted(permit);
    }
  }

  @Override
  public TenantId tenant() {
    return rule.id();
  }

  /** Returns the longest wait at this node, when it is the quota server. */
  @Override
  public long maxWaitMillis() {
    return Math.min(QuotaServer.WAIT_MILLIS, remainingMillis());
  }

  @Override
  public void admitted(QuotaPermit permit) {
    end();
    client.counts().admitted(client.now() - sinceMillis);
    request.admitted(permit);
  }

  @Override
  public void refused(QuotaRefusal refusal) {
    lastRefusal = refusal;
    if (refusal.mayRetryElsewhere()) {
      requestNext();
    } else {
      client.recordUsedUp(refusal);
      refuse();
    }
  }

  private void refuse() {
    end();
    client.counts().refused();
    QuotaRefusal refusal =
        lastRefusal != null
            ? lastRefusal
            : new QuotaRefusal(
                rule.id(), QuotaRefusal.Reason.SILENT, client.self(), 0, 0, RETRY_MILLIS);
    request.refused(refusal);
  }

  private void end() {
    ended = true;
    timer.dispose();
  }
}
