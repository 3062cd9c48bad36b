package org.streamcourse.connection.member;

import java.util.function.LongSupplier;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TermPosition;

/**
 * State of one member as known to this node: observed over own links if there are any, else
 * reported by a holder. It is used to choose a member; the member itself checks a floor.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberState {
  /** Time for which a reported wait is used. Waits of about this length change within this time. */
  private static final long WAIT_TRUSTED_MILLIS = 500;

  private static final double SECOND_MILLIS = 1_000;

  /**
   * Time without a response to an outstanding command after which a member counts as hung. The
   * holder probes the member after the same time.
   */
  public static final long HUNG_MILLIS = 250;

  private final LongSupplier clock;
  private final LongSupplier waitMillis;
  private final LongSupplier oldestUnansweredMillis;
  private final ReplicaLag lag = new ReplicaLag();
  private long reportedWaitMillis;
  private long reportedSilentMillis;
  private long reportMillis = Long.MIN_VALUE / 2;
  private long lastAnswerMillis = Long.MIN_VALUE / 2;
  private long hungMillis;
  private long hungAtMillis;
  private long probedMillis = Long.MIN_VALUE / 2;

  /**
   * Creates the state of a member of which nothing has been observed.
   *
   * @param clock worker time in milliseconds
   * @param waitMillis estimates the wait for one of this node's own links
   * @param oldestUnansweredMillis worker time at which the oldest unanswered command on this node's
   *     own links was sent, {@link Long#MAX_VALUE} when none is outstanding
   */
  public MemberState(
      LongSupplier clock, LongSupplier waitMillis, LongSupplier oldestUnansweredMillis) {
    this.clock = clock;
    this.waitMillis = waitMillis;
    this.oldestUnansweredMillis = oldestUnansweredMillis;
  }

  /** Creates the state of the member to which a set of links leads. */
  static MemberState of(Worker worker, MemberLinks owner, LinkPool pool) {
    return new MemberState(worker::now, owner::estimatedWaitMillis, pool::oldestUnansweredMillis);
  }

  /**
   * Records a position of the primary's log.
   *
   * @param position the position
   * @param ageMillis time since the primary had reached the position
   */
  public void onPrimaryPosition(TermPosition position, long ageMillis) {
    lag.onPrimaryPosition(position, clock.getAsLong() - ageMillis);
  }

  /**
   * Records that the member answered a statement.
   *
   * @param position newest log position that came with the answer, or null when none did
   */
  public void onAnswer(TermPosition position) {
    hungMillis = 0;
    lastAnswerMillis = clock.getAsLong();
    onPosition(position);
  }

  /**
   * Records the member's newest log position. Answers to statements may still be outstanding.
   *
   * @param position the position, or null when the answer carried none
   */
  public void onPosition(TermPosition position) {
    if (position != null) {
      lag.onMemberPosition(position, clock.getAsLong());
    }
  }

  /**
   * Records that the member answered that it is behind a floor.
   *
   * @param floor the floor
   */
  public void onBehind(ReadFloor floor) {
    lag.onMemberBehind(floor.position(), clock.getAsLong(), floor.ageMillis());
  }

  /**
   * Records an observation sent by a holder.
   *
   * @param observation state of the member as the holder observes it
   */
  public void onObservation(MemberObservation observation) {
    long now = clock.getAsLong();
    reportMillis = now;
    reportedWaitMillis = observation.waitMillis();
    reportedSilentMillis = observation.silentMillis();
    if (observation.position() != null) {
      lag.onReportedLag(
          observation.position(),
          now - observation.ageMillis(),
          observation.lagMillis(),
          observation.lagGrowth() / SECOND_MILLIS);
    }
  }

  /**
   * Returns the observation to send to other nodes.
   *
   * @return state of the member as observed over this node's own links
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
   * Returns for how long answers have been outstanding on own links without a response. Once these
   * links are closed, the member counts as unresponsive for the same time again unless it answers:
   * commands sent meanwhile would be lost, and only an answer shows its recovery.
   */
  private long ownSilentMillis() {
    long now = clock.getAsLong();
    long oldestSentMillis = oldestUnansweredMillis.getAsLong();
    long outstandingMillis =
        oldestSentMillis == Long.MAX_VALUE ? 0 : now - Math.max(oldestSentMillis, lastAnswerMillis);
    if (outstandingMillis > HUNG_MILLIS) {
      hungMillis = outstandingMillis;
      hungAtMillis = now;
      return outstandingMillis;
    }
    return now - hungAtMillis < hungMillis ? hungMillis : outstandingMillis;
  }

  /**
   * Estimates the time until the member reaches the floor of a read.
   *
   * @param floor floor of the read
   * @return milliseconds from now; 0 when the member has reached it or nothing recent is known
   */
  public long estimatedCatchUpMillis(ReadFloor floor) {
    return lag.estimatedCatchUpMillis(floor.position(), floor.ageMillis(), clock.getAsLong());
  }

  /**
   * Returns the wait for a connection that a holder reported.
   *
   * @return milliseconds; 0 without a recent report
   */
  public long reportedWaitMillis() {
    return clock.getAsLong() - reportMillis > WAIT_TRUSTED_MILLIS ? 0 : reportedWaitMillis;
  }

  /**
   * Returns for how long answers have been outstanding without a response, here or at a holder.
   *
   * @return milliseconds; 0 when no answer is outstanding; old reports are ignored
   */
  public long silentMillis() {
    boolean recent = clock.getAsLong() - reportMillis <= WAIT_TRUSTED_MILLIS;
    return Math.max(recent ? reportedSilentMillis : 0, ownSilentMillis());
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
   * Returns the age of the known position of the member.
   *
   * @return milliseconds, very large when no position is known
   */
  public long ageMillis() {
    return lag.ageMillis(clock.getAsLong());
  }

  /**
   * Records the start of a probe of the member's position, unless the last one is too recent.
   *
   * @param minIntervalMillis minimum time between two probes
   * @return false when the last probe started less than that ago
   */
  public boolean tryStartProbe(long minIntervalMillis) {
    long now = clock.getAsLong();
    if (now - probedMillis < minIntervalMillis) {
      return false;
    }
    probedMillis = now;
    return true;
  }
}
