package org.streamcourse.request.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * What this node may run of one tenant's operations: a share of the tenant's limit, counted in any
 * window of time and used at a {@link QuotaPacing}.
 *
 * <p>Invariants: no span of time holds more operations of this run than the pacing allows for its
 * share at the span's end, and no window more than the share; the share rises only by the
 * controllers' word, and what is given up by {@link #held} stays given up.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class LocalQuota {
  private static final int NO_CEILING = Integer.MAX_VALUE;

  /** Time between looks at when a run that has just started may use more of what it inherited. */
  private static final long START_STEP_MILLIS = 20;

  private final QuotaPacing pacing;
  private final long windowMillis;
  private final long startedMillis;
  private final Deque<Long> ran = new ArrayDeque<>();
  private long number;
  private int operations;
  private int inherited;
  private int ceiling = NO_CEILING;
  private boolean exhausted;
  private boolean dropped;
  private double tokens;
  private long tokensAtMillis;

  /**
   * Creates a quota without a share.
   *
   * @param pacing how fast a share may be used
   * @param startedMillis time at which this run of the node began
   */
  public LocalQuota(QuotaPacing pacing, long startedMillis) {
    this.pacing = pacing;
    this.windowMillis = pacing.windowMillis();
    this.startedMillis = startedMillis;
    this.tokensAtMillis = startedMillis;
  }

  /**
   * Takes in the controllers' word.
   *
   * @param granted number that rises with each change of the share
   * @param share operations in a window
   * @param ofFormerRun part of the share that a former run of the node had
   * @param most to what the share shall be lowered as soon as the window allows it
   * @param noMore whether the tenant's limit is used up, so that asking brings no more
   * @param now present time
   */
  public void told(long granted, int share, int ofFormerRun, int most, boolean noMore, long now) {
    if (granted > number) {
      number = granted;
      operations = share;
      inherited = ofFormerRun;
      dropped = false;
      recountTokens(now);
    }
    if (granted >= number) {
      ceiling = most;
      exhausted = noMore;
    }
  }

  /**
   * Gives the share up for good, since the controllers may give it to others. What ran in the last
   * window still counts as held.
   */
  public void drop() {
    dropped = operations > 0;
  }

  /**
   * Returns the number of the newest share.
   *
   * @return number, 0 before the first share
   */
  public long number() {
    return number;
  }

  /**
   * Tells whether the tenant's limit was used up at the controllers' last word.
   *
   * @return true when asking brings no more
   */
  public boolean isExhausted() {
    return exhausted;
  }

  /**
   * Counts the operations in the window that ends now.
   *
   * @param now present time
   * @return count
   */
  public int used(long now) {
    while (!ran.isEmpty() && now - ran.peekFirst() >= windowMillis) {
      ran.pollFirst();
    }
    return ran.size();
  }

  /**
   * Returns the least share that allows what ran in the window that ends now.
   *
   * @param now present time
   * @return operations in a window, not below {@link #used}
   */
  public int needed(long now) {
    int needed = used(now);
    int counted = 0;
    Iterator<Long> newestFirst = ran.descendingIterator();
    while (newestFirst.hasNext()) {
      counted++;
      needed = Math.max(needed, pacing.needed(counted, now - newestFirst.next()));
    }
    return needed;
  }

  /**
   * Returns the share, after giving up what is above the ceiling and not used any more. A run that
   * has inherited something gives up nothing within its first window.
   *
   * @param now present time
   * @return operations in a window
   */
  public int held(long now) {
    int most = dropped ? 0 : ceiling;
    if (most < operations && !startsWithLess(now)) {
      int lowered = Math.min(operations, Math.max(most, needed(now)));
      if (lowered < operations) {
        operations = lowered;
        recountTokens(now);
      }
    }
    return operations;
  }

  /**
   * Counts an operation if the share allows it.
   *
   * @param now present time
   * @return whether it may run
   */
  public boolean take(long now) {
    if (!hasRoomFor(1, now)) {
      return false;
    }
    tokens--;
    ran.addLast(now);
    return true;
  }

  /**
   * Tells whether the share allows a number of operations at once.
   *
   * @param wanted number of operations
   * @param now present time
   * @return true if {@link #take} would succeed so often
   */
  public boolean hasRoomFor(int wanted, long now) {
    int after = used(now) + wanted;
    refill(now);
    boolean ofStart =
        !startsWithLess(now)
            || after <= pacing.sinceStart(operations, inherited, now - startedMillis);
    return !dropped && after <= held(now) && tokens >= wanted && ofStart;
  }

  private boolean startsWithLess(long now) {
    return inherited > 0 && now - startedMillis < windowMillis;
  }

  private void refill(long now) {
    double refilled = tokens + pacing.perMilli(operations) * (now - tokensAtMillis);
    tokens = Math.min(pacing.burst(operations), refilled);
    tokensAtMillis = now;
  }

  /** What the bucket would hold if it had had its present size through the last window. */
  private void recountTokens(long now) {
    used(now);
    double burst = pacing.burst(operations);
    double left = burst;
    int counted = 0;
    Iterator<Long> newestFirst = ran.descendingIterator();
    while (newestFirst.hasNext()) {
      counted++;
      long span = now - newestFirst.next();
      left = Math.min(left, burst + pacing.perMilli(operations) * span - counted);
    }
    tokens = left;
    tokensAtMillis = now;
  }

  /**
   * Uncounts an operation that certainly was not run.
   *
   * @param takenMillis time at which it was counted
   * @param now present time
   */
  public void giveBack(long takenMillis, long now) {
    if (ran.removeLastOccurrence(takenMillis)) {
      recountTokens(now);
    }
  }

  /**
   * Returns when there is room again, by this node's present share alone.
   *
   * @param wanted number of operations
   * @param now present time
   * @return milliseconds, or the whole window when the share never has so much room
   */
  public long roomInMillis(int wanted, long now) {
    if (hasRoomFor(wanted, now)) {
      return 0;
    }
    if (wanted > operations) {
      return windowMillis;
    }
    double lacking = Math.max(0, wanted - tokens);
    long millis = (long) Math.ceil(lacking / pacing.perMilli(operations));
    return Math.min(windowMillis, Math.max(millis, Math.max(ofWindow(wanted, now), ofStart(now))));
  }

  /** Time until the window has room for so many. */
  private long ofWindow(int wanted, long now) {
    int toLeave = used(now) + wanted - operations;
    Iterator<Long> oldestFirst = ran.iterator();
    long leaves = 0;
    for (int i = 0; i < toLeave && oldestFirst.hasNext(); i++) {
      leaves = oldestFirst.next() + windowMillis - now;
    }
    return leaves;
  }

  /** Time until a run that has just started may use one more. */
  private long ofStart(long now) {
    long millis = 0;
    int after = used(now) + 1;
    while (startsWithLess(now + millis)
        && pacing.sinceStart(operations, inherited, now + millis - startedMillis) < after) {
      millis += START_STEP_MILLIS;
    }
    return millis;
  }
}
