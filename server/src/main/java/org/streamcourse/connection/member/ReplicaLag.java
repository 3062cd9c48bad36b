package org.streamcourse.connection.member;

import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.image.TermPosition;

/**
 * Estimates the replication lag of a member: how long after the primary it reaches a position.
 *
 * <p>A member that lacks a position lags by at least the time since the primary reached that
 * position; a member that has a position lags by at most the time since the primary reached it. The
 * estimate changes only as far as the newest such bounds require, so it needs neither a commit rate
 * nor regular samples. A higher term resets the estimate, since its log may lack observed positions
 * of the former term.
 *
 * <p>All times are those of one monotonic clock. Not thread-safe.
 */
public final class ReplicaLag {
  /**
   * Time for which positions of the primary are kept; the highest staleness limits are a few
   * seconds.
   */
  private static final long KEPT_MILLIS = 10_000;

  /** Maximum number of positions kept: one per 100 ms of {@link #KEPT_MILLIS}. */
  private static final int MAX_KEPT = 100;

  /**
   * Time after which an estimate is ignored, so that a member without recent observations gets
   * reads. Members catch up quickly once the cause of their lag is gone.
   */
  private static final long TRUSTED_MILLIS = 2_000;

  /**
   * Slack added to upper bounds. A position of the primary is known here only after a network
   * latency, so upper bounds are too low by about the latency between regions.
   */
  private static final long BOUND_SLACK_MILLIS = 20;

  /**
   * Time for which a member that lacks a position is assumed to lack it further; the minimum pause
   * before the read is sent to it again.
   */
  private static final long MIN_BEHIND_MILLIS = 5;

  /** Time over which the growth of the lag is measured; it spans a few answers or probes. */
  private static final long GROWTH_WINDOW_MILLIS = 200;

  /**
   * Maximum growth used in a forecast, in milliseconds per millisecond. The lag of a stalled member
   * grows by one, but the member resumes at some time.
   */
  private static final double MAX_GROWTH = 0.9;

  /**
   * Growth from which a member counts as stalled. Its progress can't be extrapolated, so it is
   * expected to lack a position for as long again as it has lacked it.
   */
  private static final double STALLED_GROWTH = 0.5;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Times at which the primary had reached positions; both increase together. */
  private final TreeMap<TermPosition, Long> primary = new TreeMap<>();

  private TermPosition position = TermPosition.ZERO;
  private long observedMillis = NEVER;
  private long lagMillis;
  private double growth;
  private long baseLagMillis;
  private long baseMillis = NEVER;

  /**
   * Records a position of the primary's log.
   *
   * @param logPosition the position
   * @param millis time at which the primary had reached it
   */
  public void onPrimaryPosition(TermPosition logPosition, long millis) {
    resetAtHigherTerm(logPosition);
    Map.Entry<TermPosition, Long> later = primary.ceilingEntry(logPosition);
    if (later != null && later.getValue() <= millis) {
      return;
    }
    primary.headMap(logPosition, true).values().removeIf(known -> known >= millis);
    primary.put(logPosition, millis);
    while (primary.size() > MAX_KEPT || millis - primary.firstEntry().getValue() > KEPT_MILLIS) {
      primary.pollFirstEntry();
    }
  }

  private void resetAtHigherTerm(TermPosition logPosition) {
    boolean newer = logPosition.term() > position.term();
    if (newer && !primary.isEmpty() && logPosition.term() > primary.lastKey().term()) {
      primary.clear();
    }
    if (newer) {
      position = TermPosition.ZERO;
      lagMillis = 0;
      growth = 0;
      baseMillis = NEVER;
    }
  }

  /**
   * Records a position of the member's log.
   *
   * @param logPosition newest position of the log
   * @param millis time at which it was observed
   */
  public void onMemberPosition(TermPosition logPosition, long millis) {
    if (millis < observedMillis) {
      return;
    }
    resetAtHigherTerm(logPosition);
    boolean sameTerm = logPosition.term() == position.term();
    position = sameTerm ? position.max(logPosition) : logPosition;
    observedMillis = millis;
    Map.Entry<TermPosition, Long> newestReached = primary.floorEntry(position);
    if (newestReached != null) {
      lagMillis =
          Math.min(lagMillis, Math.max(0, millis - newestReached.getValue()) + BOUND_SLACK_MILLIS);
    }
    Map.Entry<TermPosition, Long> oldestLacked = primary.higherEntry(position);
    if (oldestLacked != null) {
      lagMillis = Math.max(lagMillis, millis - oldestLacked.getValue());
    }
    updateGrowth(millis);
  }

  private void updateGrowth(long millis) {
    long passed = millis - baseMillis;
    if (passed < GROWTH_WINDOW_MILLIS) {
      return;
    }
    boolean known = passed < TRUSTED_MILLIS;
    growth = known ? bounded((double) (lagMillis - baseLagMillis) / passed) : 0;
    baseLagMillis = lagMillis;
    baseMillis = millis;
  }

  private static double bounded(double slope) {
    return Math.min(MAX_GROWTH, Math.max(0, slope));
  }

  /**
   * Records that the member answered that it lacks a position.
   *
   * @param logPosition the position
   * @param millis time at which the member lacked it
   * @param ageMillis time since the primary had reached it
   */
  public void onMemberBehind(TermPosition logPosition, long millis, long ageMillis) {
    onPrimaryPosition(logPosition, millis - ageMillis);
    if (position.reaches(logPosition)) {
      // The member's log was truncated, or another process answers at its address.
      position = TermPosition.ZERO;
    }
    observedMillis = Math.max(observedMillis, millis);
    lagMillis = Math.max(lagMillis, ageMillis + MIN_BEHIND_MILLIS);
    updateGrowth(millis);
  }

  /**
   * Applies the estimate of another node if it is newer.
   *
   * @param logPosition newest position of the member's log
   * @param millis time at which it was observed
   * @param lag that node's estimate in milliseconds
   * @param lagGrowth recent growth of the lag, in milliseconds per millisecond
   */
  public void onReportedLag(TermPosition logPosition, long millis, long lag, double lagGrowth) {
    if (millis < observedMillis || logPosition.term() < position.term()) {
      return;
    }
    resetAtHigherTerm(logPosition);
    // A lower position is applied as well: the reporting node has observed that the log was
    // truncated.
    position = logPosition;
    observedMillis = millis;
    lagMillis = lag;
    growth = bounded(lagGrowth);
  }

  /**
   * Estimates the time until the member reaches a position.
   *
   * @param logPosition the position
   * @param ageMillis time since the primary had reached it
   * @param now current time
   * @return milliseconds from now; 0 when the member has reached it or nothing recent is known
   */
  public long estimatedCatchUpMillis(TermPosition logPosition, long ageMillis, long now) {
    if (position.reaches(logPosition) || now - observedMillis > TRUSTED_MILLIS) {
      return 0;
    }
    boolean sameTerm = position.term() == logPosition.term();
    long lackedMillis = sameTerm ? Math.max(0, observedMillis - (now - ageMillis)) : 0;
    double currentLag = Math.max(lagMillis, lackedMillis) + growth * (now - observedMillis);
    long forecast = Math.round(Math.max(0, (currentLag - ageMillis) / (1 - growth)));
    return growth >= STALLED_GROWTH ? Math.max(forecast, lackedMillis) : forecast;
  }

  /**
   * Returns the newest position observed at the member.
   *
   * @return position, {@link TermPosition#ZERO} when none is known
   */
  public TermPosition position() {
    return position;
  }

  /**
   * Returns the estimated lag.
   *
   * @return lag in milliseconds
   */
  public long millis() {
    return lagMillis;
  }

  /**
   * Returns the recent growth of the lag.
   *
   * @return milliseconds per millisecond: 0 for a steady lag, near 1 for a stalled member
   */
  public double growth() {
    return growth;
  }

  /**
   * Returns the age of the newest observation.
   *
   * @param now current time
   * @return milliseconds since the member was last observed, very large when it never was
   */
  public long ageMillis(long now) {
    return now - observedMillis;
  }
}
