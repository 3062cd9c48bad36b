package org.streamcourse.connection.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/** What is made of places of the primary and of a replica that are seen now and then. */
public class ReplicaLagTest {
  /** The primary commits once in this time, and its place is seen each time. */
  private static final long COMMIT_MILLIS = 50;

  private static final long START_MILLIS = 10_000;

  private static TermPosition place(long number) {
    return new TermPosition(1, number);
  }

  private static TermPosition committedAt(long millis) {
    return place(millis / COMMIT_MILLIS);
  }

  /** A replica that is a fixed time behind, seen each 100 ms. */
  private static ReplicaLag follow(ReplicaLag lag, long from, long until, long behindMillis) {
    for (long now = from; now <= until; now += COMMIT_MILLIS) {
      lag.primaryHad(committedAt(now), now);
      if (now % 100 == 0) {
        lag.memberHas(committedAt(now - behindMillis), now);
      }
    }
    return lag;
  }

  @Test
  public void aSteadyLagIsFoundFromPlacesAlone() {
    long now = START_MILLIS + 5_000;
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, now, 1_000);
    assertTrue(Math.abs(lag.millis() - 1_000) <= COMMIT_MILLIS, lag.millis() + " ms");
    long wait = lag.untilHas(committedAt(now - 600), 600, now);
    assertTrue(Math.abs(wait - 400) <= COMMIT_MILLIS, wait + " ms");
    assertEquals(lag.untilHas(committedAt(now - 1_200), 1_200, now), 0);
  }

  @Test
  public void aReplicaThatHasCaughtUpIsTrustedAtItsNextAnswer() {
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, START_MILLIS + 4_000, 3_300);
    assertTrue(lag.millis() > 3_000, lag.millis() + " ms");
    long now = START_MILLIS + 4_100;
    lag.memberHas(committedAt(now), now);
    assertTrue(lag.millis() <= 2 * COMMIT_MILLIS + 20, lag.millis() + " ms");
  }

  /** It has no speed, so nothing tells when it goes on. */
  @Test
  public void aReplicaThatStandsStillIsExpectedToLackAPlaceForAsLongAgain() {
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, START_MILLIS + 1_000, 0);
    TermPosition stood = lag.position();
    long now = START_MILLIS + 3_000;
    for (long millis = START_MILLIS + 1_050; millis <= now; millis += COMMIT_MILLIS) {
      lag.primaryHad(committedAt(millis), millis);
      lag.memberHas(stood, millis);
    }
    long wait = lag.untilHas(committedAt(now - 1_500), 1_500, now);
    assertTrue(wait >= 1_400, wait + " ms");
    assertEquals(lag.untilHas(stood, 2_000, now), 0, "what it had it has");
  }

  /** Others are told less often than the lag grows. */
  @Test
  public void theGrowthIsForecastWhereNewsIsOld() {
    ReplicaLag told = new ReplicaLag();
    told.told(place(10), START_MILLIS, 500, 0.9);
    long now = START_MILLIS + 1_000;
    assertTrue(told.untilHas(place(20), 1_000, now) > 1_000);
    ReplicaLag steady = new ReplicaLag();
    steady.told(place(10), START_MILLIS, 500, 0);
    assertEquals(steady.untilHas(place(20), 1_000, now), 0);
  }

  @Test
  public void aHigherTermStartsAnew() {
    ReplicaLag lag = follow(new ReplicaLag(), START_MILLIS, START_MILLIS + 4_000, 3_300);
    TermPosition next = new TermPosition(2, 3);
    lag.primaryHad(next, START_MILLIS + 4_010);
    assertEquals(lag.millis(), 0);
    assertEquals(lag.untilHas(next, 10, START_MILLIS + 4_020), 0, "it is tried");
    lag.told(committedAt(START_MILLIS), START_MILLIS + 4_030, 3_300, 0);
    lag.memberHas(next, START_MILLIS + 4_040);
    assertEquals(lag.position(), next);
  }

  @Test
  public void newsOfALowerTermIsNotTaken() {
    ReplicaLag lag = new ReplicaLag();
    lag.memberHas(new TermPosition(3, 5), START_MILLIS);
    lag.told(new TermPosition(2, 900), START_MILLIS + 10, 3_000, 0);
    assertEquals(lag.position(), new TermPosition(3, 5));
    assertEquals(lag.millis(), 0);
  }

  /** Its log was cut, or another process answers in its place. */
  @Test
  public void aMemberThatLacksWhatItHadIsNotBelievedToHaveIt() {
    ReplicaLag lag = new ReplicaLag();
    lag.memberHas(place(100), START_MILLIS);
    lag.memberLacks(place(90), START_MILLIS + 100, 50);
    assertTrue(lag.untilHas(place(90), 50, START_MILLIS + 100) > 0);
  }

  @Test
  public void oldKnowledgeCountsForNothing() {
    ReplicaLag lag = new ReplicaLag();
    lag.told(place(10), START_MILLIS, 60_000, 0);
    assertTrue(lag.untilHas(place(20), 100, START_MILLIS + 1_000) > 0);
    assertEquals(lag.untilHas(place(20), 100, START_MILLIS + 3_000), 0);
  }

  @Test
  public void newsThatIsOlderThanWhatIsKnownIsNotTaken() {
    ReplicaLag lag = new ReplicaLag();
    lag.told(place(30), START_MILLIS, 10, 0);
    lag.told(place(20), START_MILLIS - 5, 900, 0);
    assertEquals(lag.position(), place(30));
    assertEquals(lag.millis(), 10);
  }
}
