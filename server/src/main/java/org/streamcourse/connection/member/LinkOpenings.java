package org.streamcourse.connection.member;

import java.util.LinkedHashMap;
import java.util.Map;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;

/** The links to one member that are being opened, and when the next one may be. */
final class LinkOpenings {
  /** Time that a connection may take to come about. */
  static final long CONNECT_MILLIS = 400;

  /**
   * Links that may be opened at once. Each takes one of a member's few slots, and several nodes
   * open links to the same member.
   */
  private static final int MOST_AT_ONCE = 2;

  /** Weight of the newest opening in the average. */
  private static final double NEWEST = 0.2;

  private static final double FIRST_MILLIS = 13;

  /** Weight of the newest link that was handed out in the number of openings for each. */
  private static final double NEWEST_GRANT = 0.02;

  /**
   * Openings that a link's use must outweigh before the link ends for another tenant: then at most
   * a fifth of a link's time goes into openings, also while a crowded member takes long for them.
   */
  private static final int OPENINGS_OUTWEIGHED = 4;

  private final Worker worker;
  private final MemberDialer dialer;
  private final Map<MemberLink, Long> opening = new LinkedHashMap<>();
  private double averageMillis = FIRST_MILLIS;
  private double openedAGrant;
  private int openedSinceGrant;
  private long notBeforeMillis;

  LinkOpenings(Worker worker, MemberDialer dialer) {
    this.worker = worker;
    this.dialer = dialer;
  }

  boolean isEmpty() {
    return opening.isEmpty();
  }

  /** Whether one more may be opened now. */
  boolean mayBegin() {
    return opening.size() < MOST_AT_ONCE && pauseMillis() == 0;
  }

  /** Time for which a link's own tenant may go before others that wait, in milliseconds. */
  long passOverMillis() {
    return Math.round(OPENINGS_OUTWEIGHED * averageMillis);
  }

  /** Number of links that are being opened for a tenant. */
  int of(TenantId tenant) {
    int count = 0;
    for (MemberLink link : opening.keySet()) {
      count += link.tenant().equals(tenant) ? 1 : 0;
    }
    return count;
  }

  /** Notes that a link was handed out. */
  void granted() {
    openedAGrant += NEWEST_GRANT * (openedSinceGrant - openedAGrant);
    openedSinceGrant = 0;
  }

  /** Time of openings for each link that is handed out, in milliseconds. */
  double millisAGrant() {
    return openedAGrant * averageMillis;
  }

  /** Opens none for a while. */
  void pause(long millis) {
    notBeforeMillis = worker.now() + millis;
  }

  /** Time until the next may be opened, in milliseconds. */
  long pauseMillis() {
    return Math.max(0, notBeforeMillis - worker.now());
  }

  void begin(MemberLink link, RegisteredMember member) {
    openedSinceGrant++;
    opening.put(link, worker.now());
    dialer.dial(member.host(), member.port(), link);
    worker.schedule(CONNECT_MILLIS, () -> timedOut(link));
  }

  /** A connection that has not come about at all shows that nobody is there. */
  private void timedOut(MemberLink link) {
    if (opening.containsKey(link) && !link.isConnected()) {
      link.close();
    }
  }

  /** The link is open or has ended; returns whether it was being opened. */
  boolean end(MemberLink link) {
    Long since = opening.remove(link);
    if (since != null) {
      averageMillis += NEWEST * (worker.now() - since - averageMillis);
    }
    return since != null;
  }
}
