package org.streamcourse.request.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Admits one tenant's operations at this node within the node's share of the tenant's limit. The
 * share bounds the operations in each window of time, and {@link QuotaPacing} bounds how fast it is
 * used.
 *
 * <p>Invariants: in each span of time, this incarnation of the node admits no more operations than
 * the pacing allows for its share at the span's end, and in each window no more than the share.
 * Only the controllers raise the share, and a part released by {@link #held} stays released.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class LocalQuota {
  private static final int NO_CEILING = Integer.MAX_VALUE;

  /** Step of the search for the time at which more of an inherited share may be used. */
  private static final long SEARCH_STEP_MILLIS = 20;

  private final QuotaPacing pacing;
  private final long windowMillis;
  private final long startedMillis;
  private final Deque<Long> admittedMillis = new ArrayDeque<>();
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
   * @param startedMillis time at which this incarnation of the node started
   */
  public LocalQuota(QuotaPacing pacing, long startedMillis) {
    this.pacing = pacing;
    this.windowMillis = pacing.windowMillis();
    this.startedMillis = startedMillis;
    this.tokensAtMillis = startedMillis;
  }

  /**
   * Applies a share assigned by the controllers. An older number changes nothing.
   *
   * @param newNumber number that rises with each change of the share
   * @param share operations in a window
   * @param inheritedPart part of the share that a former incarnation of the node had
   * @param newCeiling value to which the share must be lowered as soon as the window allows it
   * @param limitUsedUp whether the tenant's limit is used up, so that a request for more is useless
   * @param now current time
   */
  public void update(
      long newNumber, int share, int inheritedPart, int newCeiling, boolean limitUsedUp, long now) {
    if (newNumber > number) {
      number = newNumber;
      operations = share;
      inherited = inheritedPart;
      dropped = false;
      recomputeTokens(now);
    }
    if (newNumber >= number) {
      ceiling = newCeiling;
      exhausted = limitUsedUp;
    }
  }

  /**
   * Drops the share until the controllers assign a new one, because they may have assigned it to
   * other nodes. Operations of the last window still count as held.
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
   * Returns whether the tenant's limit was used up at the last update by the controllers.
   *
   * @return true when a request for a larger share is useless
   */
  public boolean isExhausted() {
    return exhausted;
  }

  /**
   * Counts the operations admitted in the window that ends now.
   *
   * @param now current time
   * @return count
   */
  public int used(long now) {
    while (!admittedMillis.isEmpty() && now - admittedMillis.peekFirst() >= windowMillis) {
      admittedMillis.pollFirst();
    }
    return admittedMillis.size();
  }

  /**
   * Returns the least share that allows the operations of the window that ends now.
   *
   * @param now current time
   * @return operations in a window, not below {@link #used}
   */
  public int needed(long now) {
    int needed = used(now);
    int counted = 0;
    Iterator<Long> newestFirst = admittedMillis.descendingIterator();
    while (newestFirst.hasNext()) {
      counted++;
      needed = Math.max(needed, pacing.needed(counted, now - newestFirst.next()));
    }
    return needed;
  }

  /**
   * Releases the unused part of the share above the ceiling and returns the remaining share. An
   * incarnation that has inherited a share releases nothing within its first window.
   *
   * @param now current time
   * @return operations in a window
   */
  public int held(long now) {
    int target = dropped ? 0 : ceiling;
    if (target < operations && !isRampingUp(now)) {
      int lowered = Math.min(operations, Math.max(target, needed(now)));
      if (lowered < operations) {
        operations = lowered;
        recomputeTokens(now);
      }
    }
    return operations;
  }

  /**
   * Admits and counts an operation if the share allows it.
   *
   * @param now current time
   * @return whether the operation is admitted
   */
  public boolean take(long now) {
    if (!allows(1, now)) {
      return false;
    }
    tokens--;
    admittedMillis.addLast(now);
    return true;
  }

  /**
   * Returns whether the share allows a number of operations at once.
   *
   * @param count number of operations
   * @param now current time
   * @return true if {@link #take} would succeed that many times
   */
  public boolean allows(int count, long now) {
    int after = used(now) + count;
    refill(now);
    boolean rampUpAllows =
        !isRampingUp(now)
            || after <= pacing.allowedSinceStart(operations, inherited, now - startedMillis);
    return !dropped && after <= held(now) && tokens >= count && rampUpAllows;
  }

  private boolean isRampingUp(long now) {
    return inherited > 0 && now - startedMillis < windowMillis;
  }

  private void refill(long now) {
    double refilled = tokens + pacing.perMilli(operations) * (now - tokensAtMillis);
    tokens = Math.min(pacing.burst(operations), refilled);
    tokensAtMillis = now;
  }

  /**
   * Sets the tokens to what the bucket would hold if it had had its current size throughout the
   * last window.
   */
  private void recomputeTokens(long now) {
    used(now);
    double burst = pacing.burst(operations);
    double left = burst;
    int counted = 0;
    Iterator<Long> newestFirst = admittedMillis.descendingIterator();
    while (newestFirst.hasNext()) {
      counted++;
      long span = now - newestFirst.next();
      left = Math.min(left, burst + pacing.perMilli(operations) * span - counted);
    }
    tokens = left;
    tokensAtMillis = now;
  }

  /**
   * Removes an admitted operation that has certainly not run from the count.
   *
   * @param takenMillis time at which the operation was admitted
   * @param now current time
   */
  public void giveBack(long takenMillis, long now) {
    if (admittedMillis.removeLastOccurrence(takenMillis)) {
      recomputeTokens(now);
    }
  }

  /**
   * Returns the time until the node's current share allows a number of operations.
   *
   * @param count number of operations
   * @param now current time
   * @return milliseconds, or the whole window when the share never allows so many
   */
  public long millisUntilAllowed(int count, long now) {
    if (allows(count, now)) {
      return 0;
    }
    if (count > operations) {
      return windowMillis;
    }
    double lacking = Math.max(0, count - tokens);
    long millis = (long) Math.ceil(lacking / pacing.perMilli(operations));
    return Math.min(
        windowMillis,
        Math.max(millis, Math.max(untilWindowAllows(count, now), untilRampUpAllows(now))));
  }

  /** Returns the time until enough operations have left the window. */
  private long untilWindowAllows(int count, long now) {
    int mustLeave = used(now) + count - operations;
    Iterator<Long> oldestFirst = admittedMillis.iterator();
    long leaves = 0;
    for (int i = 0; i < mustLeave && oldestFirst.hasNext(); i++) {
      leaves = oldestFirst.next() + windowMillis - now;
    }
    return leaves;
  }

  /** Returns the time until one more operation is allowed after the start of the incarnation. */
  private long untilRampUpAllows(long now) {
    long millis = 0;
    int after = used(now) + 1;
    while (isRampingUp(now + millis)
        && pacing.allowedSinceStart(operations, inherited, now + millis - startedMillis) < after) {
      millis += SEARCH_STEP_MILLIS;
    }
    return millis;
  }
}
