package org.streamcourse.connection.member;

import java.util.function.LongSupplier;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TermPosition;

/**
 * What this node knows of one member beyond its own links: seen by itself where it holds links,
 * told by a holder of connections elsewhere. It serves to choose a member; whether a member has a
 * place is checked by the member.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberState {
  /** Time for which an expected wait is believed; queues of this length change about as fast. */
  private static final long WAIT_TRUSTED_MILLIS = 500;

  private static final double SECOND_MILLIS = 1_000;

  /**
   * Silence of a member that owes answers, after which it counts as hung; the same after which its
   * holder looks whether it lives.
   */
  public static final long HUNG_MILLIS = 250;

  private final LongSupplier clock;
  private final LongSupplier waitMillis;
  private final LongSupplier oldestUnansweredMillis;
  private final ReplicaLag lag = new ReplicaLag();
  private long toldWaitMillis;
  private long toldSilentMillis;
  private long toldMillis = Long.MIN_VALUE / 2;
  private long answeredMillis = Long.MIN_VALUE / 2;
  private long hungMillis;
  private long hungAtMillis;
  private long askedMillis = Long.MIN_VALUE / 2;

  /**
   * Creates the state of a member that was not heard of yet.
   *
   * @param clock tells worker time in milliseconds
   * @param waitMillis estimates the wait for one of this node's own links
   * @param oldestUnansweredMillis tells since when the member has owed an answer on this node's own
   *     links, {@link Long#MAX_VALUE} when it owes none
   */
  public MemberState(
      LongSupplier clock, LongSupplier waitMillis, LongSupplier oldestUnansweredMillis) {
    this.clock = clock;
    this.waitMillis = waitMillis;
    this.oldestUnansweredMillis = oldestUnansweredMillis;
  }

  /** Creates the state of the member at the other end of links. */
  static MemberState of(Worker worker, MemberLinks owner, LinkPool pool) {
    return new MemberState(worker::now, owner::estimatedWaitMillis, pool::oldestUnansweredMillis);
  }

  /**
   * The primary's log had a place.
   *
   * @param place the place
   * @param ageMillis time since then
   */
  public void primaryHad(TermPosition place, long ageMillis) {
    lag.primaryHad(place, clock.getAsLong() - ageMillis);
  }

  /**
   * The member answered a statement.
   *
   * @param place newest place that it told, or null when it told none
   */
  public void heard(TermPosition place) {
    hungMillis = 0;
    answeredMillis = clock.getAsLong();
    standsAt(place);
  }

  /**
   * The member told its newest place; it may still owe answers to statements.
   *
   * @param place the place, or null when it told none
   */
  public void standsAt(TermPosition place) {
    if (place != null) {
      lag.memberHas(place, clock.getAsLong());
    }
  }

  /**
   * The member said that it lacks a place.
   *
   * @param floor the place
   */
  public void lacks(ReadFloor floor) {
    lag.memberLacks(floor.position(), clock.getAsLong(), floor.ageMillis());
  }

  /**
   * A holder of connections told what it knows.
   *
   * @param observation what it told
   */
  public void told(MemberObservation observation) {
    long now = clock.getAsLong();
    toldMillis = now;
    toldWaitMillis = observation.waitMillis();
    toldSilentMillis = observation.silentMillis();
    if (observation.position() != null) {
      lag.told(
          observation.position(),
          now - observation.ageMillis(),
          observation.lagMillis(),
          observation.lagGrowth() / SECOND_MILLIS);
    }
  }

  /**
   * Tells what others shall know.
   *
   * @return what this node knows by its own links
   */
  public MemberObservation observation() {
    boolean known = lag.position().term() > 0;
    return new MemberObservation(
        known ? lag.position() : null,
        known ? ageMillis() : 0,
        lag.millis(),
        (int) Math.round(lag.growth() * SECOND_MILLIS),
        waitMillis.getAsLong(),
        ownSilentMillis());
  }

  /**
   * How long the member has owed answers here. When the links that owe them are given up, it is
   * taken to be silent for as long again, unless it answers: whatever is asked meanwhile would be
   * lost, and nothing but an answer shows that it has changed.
   */
  private long ownSilentMillis() {
    long now = clock.getAsLong();
    long oldest = oldestUnansweredMillis.getAsLong();
    long silent = oldest == Long.MAX_VALUE ? 0 : now - Math.max(oldest, answeredMillis);
    if (silent > HUNG_MILLIS) {
      hungMillis = silent;
      hungAtMillis = now;
      return silent;
    }
    return now - hungAtMillis < hungMillis ? hungMillis : silent;
  }

  /**
   * Estimates when the member can serve a read.
   *
   * @param floor what the read needs
   * @return milliseconds from now on; 0 when nothing is known to speak against it
   */
  public long untilServes(ReadFloor floor) {
    return lag.untilHas(floor.position(), floor.ageMillis(), clock.getAsLong());
  }

  /**
   * Returns the wait for a connection that a holder expected.
   *
   * @return milliseconds; 0 when nothing was told lately
   */
  public long toldWaitMillis() {
    return clock.getAsLong() - toldMillis > WAIT_TRUSTED_MILLIS ? 0 : toldWaitMillis;
  }

  /**
   * Returns how long the member has owed answers to all who asked it.
   *
   * @return milliseconds; 0 when it owes none, or when nothing was told lately
   */
  public long silentMillis() {
    boolean told = clock.getAsLong() - toldMillis <= WAIT_TRUSTED_MILLIS;
    return Math.max(told ? toldSilentMillis : 0, ownSilentMillis());
  }

  /**
   * Returns the estimated lag.
   *
   * @return milliseconds
   */
  public long lagMillis() {
    return lag.millis();
  }

  /**
   * Returns how old the knowledge of the member's place is.
   *
   * @return milliseconds, very large when none is known
   */
  public long ageMillis() {
    return lag.ageMillis(clock.getAsLong());
  }

  /**
   * Takes the turn to ask for newer knowledge.
   *
   * @param restMillis least time between two questions
   * @return false when the last question is younger
   */
  public boolean takeTurnToAsk(long restMillis) {
    long now = clock.getAsLong();
    if (now - askedMillis < restMillis) {
      return false;
    }
    askedMillis = now;
    return true;
  }
}
