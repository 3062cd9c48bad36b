package org.streamcourse.request.quota;

import java.util.List;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * One operation on its way through the quota servers of its tenant. It is at one quota server at a
 * time; before the next one is asked, the one before has refused it or is told that it does not
 * run.
 */
final class QuotaOperation implements QuotaRequest {
  /** Longest wait at all quota servers together, and so the oldest permit that is used. */
  private static final long LONGEST_MILLIS = 450;

  /**
   * Time in which a quota server gives a sign of life: two ways between regions, 40 ms, and a quota
   * server that is busy.
   */
  private static final long SIGN_MILLIS = 100;

  /** Time in which a quota server that has given a sign decides: its own wait, and the ways. */
  private static final long DECISION_MILLIS = QuotaServer.WAIT_MILLIS + 50;

  /**
   * Time to come back after no quota server was reached; a suspected one is asked again meanwhile.
   */
  private static final long RETRY_MILLIS = 200;

  private static final String NOBODY = "";

  private final QuotaClient client;
  private final TenantRule rule;
  private final QuotaRequest request;
  private final List<String> quotaServers;
  private final long sinceMillis;
  private int next;
  private boolean asked;
  private boolean ended;
  private String quotaServer = NOBODY;
  private int number;
  private long askedMillis;
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
    askNext();
  }

  /** Takes the operation back; nobody hears an outcome any more. */
  void cancel() {
    if (!ended) {
      leaveQuotaServer();
      ended = true;
    }
  }

  private void askNext() {
    timer.dispose();
    quotaServer = nextQuotaServer();
    if (quotaServer.isEmpty() || leftMillis() <= 0) {
      refuse();
      return;
    }
    asked = true;
    askedMillis = client.now();
    if (client.isSelf(quotaServer)) {
      waitingHere = client.admitHere(rule, this);
    } else {
      number = client.ask(quotaServer, this);
      timer = client.schedule(SIGN_MILLIS, this::noSign);
    }
  }

  /** Suspected quota servers are left out, but one is asked in any case. */
  private String nextQuotaServer() {
    while (next < quotaServers.size()) {
      String candidate = quotaServers.get(next);
      next++;
      if (!client.isSuspected(candidate)) {
        return candidate;
      }
    }
    return asked || quotaServers.isEmpty() ? NOBODY : quotaServers.get(0);
  }

  private long leftMillis() {
    long longest = Math.min(LONGEST_MILLIS, request.maxWaitMillis());
    return sinceMillis + longest - client.now();
  }

  // ---- silence ----

  private void noSign() {
    client.silentSince(quotaServer, askedMillis);
    notDecided();
  }

  private void notDecided() {
    leaveQuotaServer();
    askNext();
  }

  private void leaveQuotaServer() {
    timer.dispose();
    waitingHere.dispose();
    if (!quotaServer.isEmpty() && !client.isSelf(quotaServer)) {
      client.leave(quotaServer, number);
    }
  }

  /** The quota server works on it. */
  void waitsThere() {
    timer.dispose();
    long left = askedMillis + DECISION_MILLIS - client.now();
    timer = client.schedule(Math.max(0, left), this::notDecided);
  }

  /** The quota server can't be reached. */
  void quotaServerLost() {
    if (!ended) {
      askNext();
    }
  }

  // ---- outcomes ----

  /** The quota server admitted it; too late when this node was frozen meanwhile. */
  void admittedThere(QuotaPermit permit) {
    if (client.now() - askedMillis > LONGEST_MILLIS) {
      permit.giveBack();
      askNext();
    } else {
      admitted(permit);
    }
  }

  @Override
  public TenantId tenant() {
    return rule.id();
  }

  /** Longest wait at this node, if it is a quota server. */
  @Override
  public long maxWaitMillis() {
    return Math.min(QuotaServer.WAIT_MILLIS, leftMillis());
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
    if (refusal.mayRunElsewhere()) {
      askNext();
    } else {
      client.usedUp(refusal);
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
