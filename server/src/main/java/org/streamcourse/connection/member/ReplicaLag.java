package org.streamcourse.connection.member;

import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.image.TermPosition;

/**
 * Estimates how long after the primary a member has a place of the log.
 *
 * <p>A member that lacks a place which the primary had a while ago is at least that long behind;
 * one that has a place is behind by at most the time since the primary had it. The estimate moves
 * only as far as the newest such bounds force it to, so that it needs neither a rate of commits nor
 * regular samples. A higher term starts anew, since its log may lack what was seen of the former.
 *
 * <p>Times are those of one monotonic clock. Not safe for several threads.
 */
public final class ReplicaLag {
  /** Places of the primary that are kept; the longest staleness limits are a few seconds. */
  private static final long KEPT_MILLIS = 10_000;

  /** Most places kept; one each 100 ms for the time above. */
  private static final int MOST_KEPT = 100;

  /**
   * Time after which an estimate counts for nothing, so that a member of which nobody tells is
   * tried. Members catch up at once when what held them back ends.
   */
  private static final long TRUSTED_MILLIS = 2_000;

  /**
   * Part of the estimate that an upper bound leaves: a place is often known here only a way after
   * the primary had it, so upper bounds are too low by about a way between regions.
   */
  private static final long BOUND_SLACK_MILLIS = 20;

  /**
   * Time for which a member that lacks a place is taken to go on lacking it; the least pause before
   * it is asked again.
   */
  private static final long LACKS_MILLIS = 5;

  /** Time over which it is seen whether the lag grows; a few answers or questions each way. */
  private static final long GROWTH_MILLIS = 200;

  /**
   * Most growth that a forecast reckons with, in milliseconds a millisecond: a member that stands
   * still falls behind by one, and goes on at some time.
   */
  private static final double MOST_GROWTH = 0.9;

  /**
   * Growth from which a member counts as standing still. It has no speed by which to tell when it
   * has a place that it lacked, so it is expected to lack that for as long again.
   */
  private static final double STANDS_STILL = 0.5;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Times at which the primary had places; both rise together. */
  private final TreeMap<TermPosition, Long> primary = new TreeMap<>();

  private TermPosition position = TermPosition.ZERO;
  private long seenMillis = NEVER;
  private long lagMillis;
  private double growth;
  private long baseLagMillis;
  private long baseMillis = NEVER;

  /**
   * Notes a place of the primary's log.
   *
   * @param place the place
   * @param millis time at which the primary had it
   */
  public void primaryHad(TermPosition place, long millis) {
    resetAtHigherTerm(place);
    Map.Entry<TermPosition, Long> later = primary.ceilingEntry(place);
    if (later != null && later.getValue() <= millis) {
      return;
    }
    primary.headMap(place, true).values().removeIf(known -> known >= millis);
    primary.put(place, millis);
    while (primary.size() > MOST_KEPT || millis - primary.firstEntry().getValue() > KEPT_MILLIS) {
      primary.pollFirstEntry();
    }
  }

  private void resetAtHigherTerm(TermPosition place) {
    boolean newer = place.term() > position.term();
    if (newer && !primary.isEmpty() && place.term() > primary.lastKey().term()) {
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
   * Notes a place that the member has.
   *
   * @param place newest place of its log
   * @param millis time at which it was seen
   */
  public void memberHas(TermPosition place, long millis) {
    if (millis < seenMillis) {
      return;
    }
    resetAtHigherTerm(place);
    boolean sameTerm = place.term() == position.term();
    position = sameTerm ? position.max(place) : place;
    seenMillis = millis;
    Map.Entry<TermPosition, Long> had = primary.floorEntry(position);
    if (had != null) {
      lagMillis = Math.min(lagMillis, Math.max(0, millis - had.getValue()) + BOUND_SLACK_MILLIS);
    }
    Map.Entry<TermPosition, Long> lacks = primary.higherEntry(position);
    if (lacks != null) {
      lagMillis = Math.max(lagMillis, millis - lacks.getValue());
    }
    noteGrowth(millis);
  }

  private void noteGrowth(long millis) {
    long passed = millis - baseMillis;
    if (passed < GROWTH_MILLIS) {
      return;
    }
    boolean known = passed < TRUSTED_MILLIS;
    growth = known ? bounded((double) (lagMillis - baseLagMillis) / passed) : 0;
    baseLagMillis = lagMillis;
    baseMillis = millis;
  }

  private static double bounded(double slope) {
    return Math.min(MOST_GROWTH, Math.max(0, slope));
  }

  /**
   * Notes that the member lacks a place, which it said itself.
   *
   * @param place the place
   * @param millis time at which it was seen to lack it
   * @param ageMillis time since the primary had it
   */
  public void memberLacks(TermPosition place, long millis, long ageMillis) {
    primaryHad(place, millis - ageMillis);
    if (position.reaches(place)) {
      // Its log was cut back, or another process answers in its place.
      position = TermPosition.ZERO;
    }
    seenMillis = Math.max(seenMillis, millis);
    lagMillis = Math.max(lagMillis, ageMillis + LACKS_MILLIS);
    noteGrowth(millis);
  }

  /**
   * Takes over what another node has seen, if it is newer.
   *
   * @param place newest place of the member's log
   * @param millis time at which it was seen
   * @param lag that node's estimate in milliseconds
   * @param grows how much it grew lately, in milliseconds a millisecond
   */
  public void told(TermPosition place, long millis, long lag, double grows) {
    if (millis < seenMillis || place.term() < position.term()) {
      return;
    }
    resetAtHigherTerm(place);
    // Also back: whoever told has seen that the log was cut.
    position = place;
    seenMillis = millis;
    lagMillis = lag;
    growth = bounded(grows);
  }

  /**
   * Estimates when the member has a place.
   *
   * @param place the place
   * @param ageMillis time since the primary had it
   * @param now present time
   * @return milliseconds from now on; 0 when it has it, or when nothing is known to speak against
   *     it
   */
  public long untilHas(TermPosition place, long ageMillis, long now) {
    if (position.reaches(place) || now - seenMillis > TRUSTED_MILLIS) {
      return 0;
    }
    boolean sameTerm = position.term() == place.term();
    long lackedFor = sameTerm ? Math.max(0, seenMillis - (now - ageMillis)) : 0;
    double present = Math.max(lagMillis, lackedFor) + growth * (now - seenMillis);
    long forecast = Math.round(Math.max(0, (present - ageMillis) / (1 - growth)));
    return growth >= STANDS_STILL ? Math.max(forecast, lackedFor) : forecast;
  }

  /**
   * Returns the newest place seen.
   *
   * @return place, {@link TermPosition#ZERO} when none is known
   */
  public TermPosition position() {
    return position;
  }

  /**
   * Returns the estimate.
   *
   * @return lag in milliseconds
   */
  public long millis() {
    return lagMillis;
  }

  /**
   * Returns how much the estimate grew lately.
   *
   * @return milliseconds a millisecond: 0 for a lag that stays, near 1 for a member that stands
   *     still
   */
  public double growth() {
    return growth;
  }

  /**
   * Returns how old the knowledge is.
   *
   * @param now present time
   * @return milliseconds since the member was last seen, very large when it never was
   */
  public long ageMillis(long now) {
    return now - seenMillis;
  }
}
