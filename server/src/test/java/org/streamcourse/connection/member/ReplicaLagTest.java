package org.streamcourse.connection.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/**
 * Estimates of replication lag from occasionally observed log positions of the primary and of a
 * replica.
 */
public class ReplicaLagTest {
  /** Interval of the primary's commits; its position is observed at each commit. */
  private static final long COMMIT_MILLIS = 50;

  private static final long START_MILLIS = 10_000;

  private static TermPosition position(long number) {
    return new TermPosition(1, number);
  }

  private static TermPosition committedAt(long millis) {
    return position(millis / COMMIT_MILLIS);
  }

  /** Observes a replica with a fixed lag every 100 ms. */
  private static ReplicaLag follow(ReplicaLag lag, long from, long until, long behindMillis) {
    for (long now = from; now <= until; now += COMMIT_MILLIS) {
      lag.onPrimaryPosition(committedAt(now), now);
      if (now % 100 == 0) {
        lag.onMemberPosition(committedAt(now - behindMillis), now);
      }
    }
    return lag;
  }

  @Test
  public void aSteadyLagIsEstimatedFromPositionsAlone() {
    long now = START_MILLIS + 5_000;
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, now, 1_000);
    assertTrue(Math.abs(lag.millis() - 1_000) <= COMMIT_MILLIS, lag.millis() + " ms");
    long wait = lag.estimatedCatchUpMillis(committedAt(now - 600), 600, now);
    assertTrue(Math.abs(wait - 400) <= COMMIT_MILLIS, wait + " ms");
    assertEquals(lag.estimatedCatchUpMillis(committedAt(now - 1_200), 1_200, now), 0);
  }

  @Test
  public void aReplicaThatHasCaughtUpIsTrustedAtItsNextAnswer() {
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, START_MILLIS + 4_000, 3_300);
    assertTrue(lag.millis() > 3_000, lag.millis() + " ms");
    long now = START_MILLIS + 4_100;
    lag.onMemberPosition(committedAt(now), now);
    assertTrue(lag.millis() <= 2 * COMMIT_MILLIS + 20, lag.millis() + " ms");
  }

  /**
   * Guards against a forecast that sends reads to a stalled replica, whose progress can't be
   * extrapolated.
   */
  @Test
  public void aStalledReplicaIsExpectedToLackAPositionForAsLongAgain() {
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, START_MILLIS + 1_000, 0);
    TermPosition stalledAt = lag.position();
    long now = START_MILLIS + 3_000;
    for (long millis = START_MILLIS + 1_050; millis <= now; millis += COMMIT_MILLIS) {
      lag.onPrimaryPosition(committedAt(millis), millis);
      lag.onMemberPosition(stalledAt, millis);
    }
    long wait = lag.estimatedCatchUpMillis(committedAt(now - 1_500), 1_500, now);
    assertTrue(wait >= 1_400, wait + " ms");
    assertEquals(
        lag.estimatedCatchUpMillis(stalledAt, 2_000, now),
        0,
        "positions that the replica has reached are still served");
  }

  /**
   * Guards against reads at a lagging replica between two reports of its holder, while the lag
   * grows.
   */
  @Test
  public void theLagIsExtrapolatedFromAnOldReport() {
    ReplicaLag growing = new ReplicaLag();
    growing.onReportedLag(position(10), START_MILLIS, 500, 0.9);
    long now = START_MILLIS + 1_000;
    assertTrue(growing.estimatedCatchUpMillis(position(20), 1_000, now) > 1_000);
    ReplicaLag steady = new ReplicaLag();
    steady.onReportedLag(position(10), START_MILLIS, 500, 0);
    assertEquals(steady.estimatedCatchUpMillis(position(20), 1_000, now), 0);
  }

  @Test
  public void aHigherTermResetsTheEstimate() {
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, START_MILLIS + 4_000, 3_300);
    TermPosition next = new TermPosition(2, 3);
    lag.onPrimaryPosition(next, START_MILLIS + 4_010);
    assertEquals(lag.millis(), 0);
    assertEquals(
        lag.estimatedCatchUpMillis(next, 10, START_MILLIS + 4_020),
        0,
        "a read is sent to the replica without an estimate");
    lag.onReportedLag(committedAt(START_MILLIS), START_MILLIS + 4_030, 3_300, 0);
    lag.onMemberPosition(next, START_MILLIS + 4_040);
    assertEquals(lag.position(), next);
  }

  @Test
  public void reportsOfALowerTermAreIgnored() {
    ReplicaLag lag = new ReplicaLag();
    lag.onMemberPosition(new TermPosition(3, 5), START_MILLIS);
    lag.onReportedLag(new TermPosition(2, 900), START_MILLIS + 10, 3_000, 0);
    assertEquals(lag.position(), new TermPosition(3, 5));
    assertEquals(lag.millis(), 0);
  }

  /** Happens when the member's log was truncated or another process answers at its address. */
  @Test
  public void aMemberThatLacksAPositionItHadIsExpectedToLackIt() {
    ReplicaLag lag = new ReplicaLag();
    lag.onMemberPosition(position(100), START_MILLIS);
    lag.onMemberBehind(position(90), START_MILLIS + 100, 50);
    assertTrue(lag.estimatedCatchUpMillis(position(90), 50, START_MILLIS + 100) > 0);
  }

  @Test
  public void expiredEstimatesAreIgnored() {
    ReplicaLag lag = new ReplicaLag();
    lag.onReportedLag(position(10), START_MILLIS, 60_000, 0);
    assertTrue(lag.estimatedCatchUpMillis(position(20), 100, START_MILLIS + 1_000) > 0);
    assertEquals(lag.estimatedCatchUpMillis(position(20), 100, START_MILLIS + 3_000), 0);
  }

  @Test
  public void reportsOlderThanTheNewestObservationAreIgnored() {
    ReplicaLag lag = new ReplicaLag();
    lag.onReportedLag(position(30), START_MILLIS, 10, 0);
    lag.onReportedLag(position(20), START_MILLIS - 5, 900, 0);
    assertEquals(lag.position(), position(30));
    assertEquals(lag.millis(), 10);
  }
}
