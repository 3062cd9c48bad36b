package org.streamcourse.connection.member;

import java.util.LinkedHashMap;
import java.util.Map;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;

/** The links to one member that are being opened, and when the next opening may start. */
final class LinkOpenings {
  /** Connect timeout. */
  static final long CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * Maximum number of links that are opened concurrently. Each opening takes one of the member's
   * few slots, and several nodes open links to the same member.
   */
  private static final int MAX_CONCURRENT = 2;

  /** Weight of the newest opening in the moving average of opening times. */
  private static final double NEWEST_WEIGHT = 0.2;

  private static final double INITIAL_MILLIS = 13;

  /** Weight of the newest grant in the average of openings per grant. */
  private static final double NEWEST_GRANT_WEIGHT = 0.02;

  /**
   * Opening times for which a link serves its tenant before it may be closed for another one:
   * openings then take at most a fifth of a link's time, even at a slow, overloaded member.
   */
  private static final int MIN_USE_PER_OPENING = 4;

  private final Worker worker;
  private final MemberDialer dialer;
  private final Map<MemberLink, Long> opening = new LinkedHashMap<>();
  private double averageMillis = INITIAL_MILLIS;
  private double openedPerGrant;
  private int openedSinceGrant;
  private long notBeforeMillis;

  LinkOpenings(Worker worker, MemberDialer dialer) {
    this.worker = worker;
    this.dialer = dialer;
  }

  boolean isEmpty() {
    return opening.isEmpty();
  }

  /** Returns whether another opening may start now. */
  boolean mayBegin() {
    return opening.size() < MAX_CONCURRENT && pauseMillis() == 0;
  }

  /**
   * Returns the wait in milliseconds up to which a request may be passed over for a later one that
   * an idle link of its own tenant can serve.
   */
  long passOverMillis() {
    return Math.round(MIN_USE_PER_OPENING * averageMillis);
  }

  /** Returns the number of links that are being opened for a tenant. */
  int of(TenantId tenant) {
    int count = 0;
    for (MemberLink link : opening.keySet()) {
      count += link.tenant().equals(tenant) ? 1 : 0;
    }
    return count;
  }

  /** Records that a link was granted to a request. */
  void granted() {
    openedPerGrant += NEWEST_GRANT_WEIGHT * (openedSinceGrant - openedPerGrant);
    openedSinceGrant = 0;
  }

  /** Returns the average opening time spent per granted link, in milliseconds. */
  double millisPerGrant() {
    return openedPerGrant * averageMillis;
  }

  /** Prevents new openings for some time. */
  void pause(long millis) {
    notBeforeMillis = worker.now() + millis;
  }

  /** Returns the time until the next opening may start, in milliseconds. */
  long pauseMillis() {
    return Math.max(0, notBeforeMillis - worker.now());
  }

  void begin(MemberLink link, RegisteredMember member) {
    openedSinceGrant++;
    opening.put(link, worker.now());
    dialer.dial(member.host(), member.port(), link);
    worker.schedule(CONNECT_TIMEOUT_MILLIS, () -> timedOut(link));
  }

  /**
   * Closes a link that isn't connected in time, as the member is probably unreachable. A link that
   * is connected may still wait for a slot.
   */
  private void timedOut(MemberLink link) {
    if (opening.containsKey(link) && !link.isConnected()) {
      link.close();
    }
  }

  /** Records that the link is open or has ended; returns whether it was being opened. */
  boolean end(MemberLink link) {
    Long startedMillis = opening.remove(link);
    if (startedMillis != null) {
      averageMillis += NEWEST_WEIGHT * (worker.now() - startedMillis - averageMillis);
    }
    return startedMillis != null;
  }
}
