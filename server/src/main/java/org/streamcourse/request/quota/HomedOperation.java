package org.streamcourse.request.quota;

import java.util.List;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import reactor.core.Disposable;

/**
 * One operation on its way through the homes of its tenant. It is at one home at a time; before the
 * next one is asked, the one before has refused it or is told that it does not run.
 */
final class HomedOperation implements QuotaRequest {
  /** Longest wait at all homes together, and so the oldest permit that is used. */
  private static final long LONGEST_MILLIS = 450;

  /**
   * Time in which a home gives a sign of life: two ways between regions, 40 ms, and a home that is
   * busy.
   */
  private static final long SIGN_MILLIS = 100;

  /** Time in which a home that has given a sign decides: its own wait, and the ways. */
  private static final long DECISION_MILLIS = HomeServer.WAIT_MILLIS + 50;

  /** Time to come back after no home was reached; a suspected one is asked again meanwhile. */
  private static final long RETRY_MILLIS = 200;

  private static final String NOBODY = "";

  private final HomedQuotas quotas;
  private final TenantRule rule;
  private final QuotaRequest request;
  private final List<String> homes;
  private final long sinceMillis;
  private int next;
  private boolean asked;
  private boolean ended;
  private String home = NOBODY;
  private int number;
  private long askedMillis;
  private QuotaRefusal lastRefusal;
  private Disposable timer = () -> {};
  private Disposable waitingHere = () -> {};

  HomedOperation(HomedQuotas quotas, TenantRule rule, QuotaRequest request, List<String> homes) {
    this.quotas = quotas;
    this.rule = rule;
    this.request = request;
    this.homes = homes;
    this.sinceMillis = quotas.now();
  }

  void start() {
    askNext();
  }

  /** Takes the operation back; nobody hears an outcome any more. */
  void cancel() {
    if (!ended) {
      leaveHome();
      ended = true;
    }
  }

  private void askNext() {
    timer.dispose();
    home = nextHome();
    if (home.isEmpty() || leftMillis() <= 0) {
      refuse();
      return;
    }
    asked = true;
    askedMillis = quotas.now();
    if (quotas.isSelf(home)) {
      waitingHere = quotas.admitHere(rule, this);
    } else {
      number = quotas.ask(home, this);
      timer = quotas.schedule(SIGN_MILLIS, this::noSign);
    }
  }

  /** Suspected homes are left out, but one is asked in any case. */
  private String nextHome() {
    while (next < homes.size()) {
      String candidate = homes.get(next);
      next++;
      if (!quotas.isSuspected(candidate)) {
        return candidate;
      }
    }
    return asked || homes.isEmpty() ? NOBODY : homes.get(0);
  }

  private long leftMillis() {
    long longest = Math.min(LONGEST_MILLIS, request.maxWaitMillis());
    return sinceMillis + longest - quotas.now();
  }

  // ---- silence ----

  private void noSign() {
    quotas.silentSince(home, askedMillis);
    notDecided();
  }

  private void notDecided() {
    leaveHome();
    askNext();
  }

  private void leaveHome() {
    timer.dispose();
    waitingHere.dispose();
    if (!home.isEmpty() && !quotas.isSelf(home)) {
      quotas.leave(home, number);
    }
  }

  /** The home works on it. */
  void waitsThere() {
    timer.dispose();
    long left = askedMillis + DECISION_MILLIS - quotas.now();
    timer = quotas.schedule(Math.max(0, left), this::notDecided);
  }

  /** The home can't be reached. */
  void homeLost() {
    if (!ended) {
      askNext();
    }
  }

  // ---- outcomes ----

  /** The home admitted it; too late when this node was frozen meanwhile. */
  void admittedThere(QuotaPermit permit) {
    if (quotas.now() - askedMillis > LONGEST_MILLIS) {
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

  /** Longest wait at this node, if it is a home. */
  @Override
  public long maxWaitMillis() {
    return Math.min(HomeServer.WAIT_MILLIS, leftMillis());
  }

  @Override
  public void admitted(QuotaPermit permit) {
    end();
    quotas.counts().admitted(quotas.now() - sinceMillis);
    request.admitted(permit);
  }

  @Override
  public void refused(QuotaRefusal refusal) {
    lastRefusal = refusal;
    if (refusal.mayRunElsewhere()) {
      askNext();
    } else {
      quotas.usedUp(refusal);
      refuse();
    }
  }

  private void refuse() {
    end();
    quotas.counts().refused();
    QuotaRefusal refusal =
        lastRefusal != null
            ? lastRefusal
            : new QuotaRefusal(
                rule.id(), QuotaRefusal.Reason.SILENT, quotas.self(), 0, 0, RETRY_MILLIS);
    request.refused(refusal);
  }

  private void end() {
    ended = true;
    timer.dispose();
  }
}
