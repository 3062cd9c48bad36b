package org.streamcourse.connection.member;

import java.util.LinkedHashSet;
import java.util.Set;
import org.streamcourse.process.Worker;

/**
 * The slots of one member, as far as this node shares them out. A member runs a few commands at the
 * same time, queues none, and rejects what comes beyond that; so a command for which no slot is
 * free waits here, in its link, until one is.
 *
 * <p>Commands on links that are in use go first, in the order in which they came: their links serve
 * nobody else meanwhile. Whoever waits for a link is served from what is left ({@link #hasFree}).
 *
 * <p>Each statement and each new connection takes a slot; what begins or rolls back a transaction,
 * sets a value or prepares a name takes none.
 *
 * <p>All methods run on the proxy's worker.
 */
final class MemberSlots {
  /** Number of slots of a member whose slots this node does not share out. */
  static final int UNLIMITED = 0;

  /** One command that is under way at the member. */
  static final class Use {
    private final long sinceMillis;

    private Use(long sinceMillis) {
      this.sinceMillis = sinceMillis;
    }

    /** Time for which the slot has been taken. */
    long tookMillis(long now) {
      return now - sinceMillis;
    }
  }

  private final Worker worker;
  private final Runnable onFree;
  private final WorkTimes commands = new WorkTimes();
  private final Set<Use> underWay = new LinkedHashSet<>();
  private final Set<MemberLink> waiting = new LinkedHashSet<>();
  private int most = UNLIMITED;

  /**
   * Creates slots without a limit.
   *
   * @param worker the proxy's worker
   * @param onFree runs when a slot is free that no link in use waits for
   */
  MemberSlots(Worker worker, Runnable onFree) {
    this.worker = worker;
    this.onFree = onFree;
  }

  /** Takes in how many slots this node shares out. */
  void update(int slots) {
    most = slots;
    serve();
  }

  boolean isLimited() {
    return most != UNLIMITED;
  }

  /** Number of commands that run at the member. */
  int underWay() {
    return underWay.size();
  }

  /** Whether one who waits for a link may have a slot now. */
  boolean hasFree() {
    return !isLimited() || (waiting.isEmpty() && underWay.size() < most);
  }

  /** Whether a command takes one of the member's slots. */
  static boolean isTakenBy(MemberCommand command) {
    return command instanceof MemberCommand.Run
        || command instanceof MemberCommand.RunPrepared
        || command instanceof MemberCommand.Introduce
        || command instanceof MemberCommand.ReportStatus;
  }

  /**
   * Takes a slot for a link, or lets the link wait for one.
   *
   * @param link link with a command to send; {@link MemberLink#sendWaiting} is called later when it
   *     must wait
   * @return use to give back, or null when the link waits
   */
  Use take(MemberLink link) {
    boolean mayGo = !isLimited() || underWay.size() < most;
    if (!mayGo) {
      waiting.add(link);
      return null;
    }
    waiting.remove(link);
    Use use = new Use(worker.now());
    underWay.add(use);
    return use;
  }

  /** Takes back the slot of a command that was answered. */
  void release(Use use) {
    commands.add(WorkTimes.ANY_KIND, use.tookMillis(worker.now()));
    free(use);
  }

  /**
   * The link of a command was lost. The member may run it to its end all the same, so its slot
   * stays taken for as long as commands take on average.
   */
  void lost(Use use) {
    worker.schedule(commands.averageMillis(WorkTimes.ANY_KIND), () -> free(use));
  }

  /** A link that has ended waits no more. */
  void forget(MemberLink link) {
    waiting.remove(link);
  }

  private void free(Use use) {
    underWay.remove(use);
    serve();
  }

  private void serve() {
    while (!waiting.isEmpty() && (!isLimited() || underWay.size() < most)) {
      MemberLink next = waiting.iterator().next();
      waiting.remove(next);
      next.sendWaiting();
    }
    if (hasFree()) {
      onFree.run();
    }
  }

  /**
   * Estimates when work that comes now gets a slot. What runs is taken to be half done.
   *
   * @param workAheadMillis work that goes before it, beyond what runs or waits for a slot
   * @return milliseconds; 0 without a limit
   */
  long waitMillis(long workAheadMillis) {
    if (!isLimited() || (hasFree() && workAheadMillis == 0)) {
      return 0;
    }
    long average = commands.averageMillis(WorkTimes.ANY_KIND);
    long taken = average * underWay.size() / 2 + average * waiting.size();
    return (taken + workAheadMillis) / most;
  }
}
