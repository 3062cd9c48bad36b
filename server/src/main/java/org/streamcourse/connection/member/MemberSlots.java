package org.streamcourse.connection.member;

import java.util.LinkedHashSet;
import java.util.Set;
import org.streamcourse.process.Worker;

/**
 * The slots of one member that this node assigns. A member runs a few commands concurrently and
 * rejects further ones instead of queueing them, so a command without a free slot waits in its link
 * at this node.
 *
 * <p>Commands on links that are in use get slots first, in order of arrival, because such a link
 * can't serve another request meanwhile. Requests that wait for a link get the remaining slots
 * ({@link #hasFree}).
 *
 * <p>Each statement, status request and new connection takes a slot; commands that begin or roll
 * back a transaction, set a session value or prepare a statement take none.
 *
 * <p>All methods run on the proxy's worker.
 */
final class MemberSlots {
  /** Number of slots when this node does not limit the commands at the member. */
  static final int UNLIMITED = 0;

  /** Use of a slot by one command that was sent to the member. */
  static final class Use {
    private final long sinceMillis;

    private Use(long sinceMillis) {
      this.sinceMillis = sinceMillis;
    }

    /** Returns the time for which the slot has been taken, in milliseconds. */
    long tookMillis(long now) {
      return now - sinceMillis;
    }
  }

  private final Worker worker;
  private final Runnable onFree;
  private final WorkTimes commands = new WorkTimes();
  private final Set<Use> inUse = new LinkedHashSet<>();
  private final Set<MemberLink> waiting = new LinkedHashSet<>();
  private int limit = UNLIMITED;

  /**
   * Creates slots without a limit.
   *
   * @param worker the proxy's worker
   * @param onFree runs when a slot is free for which no link in use waits
   */
  MemberSlots(Worker worker, Runnable onFree) {
    this.worker = worker;
    this.onFree = onFree;
  }

  /** Sets the number of slots that this node assigns. */
  void update(int slots) {
    limit = slots;
    serve();
  }

  boolean isLimited() {
    return limit != UNLIMITED;
  }

  /** Returns the number of slots in use. */
  int inUse() {
    return inUse.size();
  }

  /** Returns whether a request that waits for a link can get a slot now. */
  boolean hasFree() {
    return !isLimited() || (waiting.isEmpty() && inUse.size() < limit);
  }

  /** Returns whether a command takes one of the member's slots. */
  static boolean needsSlot(MemberCommand command) {
    return command instanceof MemberCommand.Run
        || command instanceof MemberCommand.RunPrepared
        || command instanceof MemberCommand.Introduce
        || command instanceof MemberCommand.ReportStatus;
  }

  /**
   * Takes a slot for a link, or queues the link.
   *
   * @param link link with a command to send; if it must wait, {@link MemberLink#sendWaiting} is
   *     called when a slot is free
   * @return the use of the slot, to be released, or null when the link waits
   */
  Use take(MemberLink link) {
    boolean hasRoom = !isLimited() || inUse.size() < limit;
    if (!hasRoom) {
      waiting.add(link);
      return null;
    }
    waiting.remove(link);
    Use use = new Use(worker.now());
    inUse.add(use);
    return use;
  }

  /** Releases the slot of a command that was answered. */
  void release(Use use) {
    commands.add(WorkTimes.ANY_KIND, use.tookMillis(worker.now()));
    free(use);
  }

  /**
   * Releases the slot of a command whose link was lost. The member may still run the command, so
   * the slot stays taken for the average time of a command.
   */
  void lost(Use use) {
    worker.schedule(commands.averageMillis(WorkTimes.ANY_KIND), () -> free(use));
  }

  /** Removes a link from the queue for slots. */
  void cancelWait(MemberLink link) {
    waiting.remove(link);
  }

  private void free(Use use) {
    inUse.remove(use);
    serve();
  }

  private void serve() {
    while (!waiting.isEmpty() && (!isLimited() || inUse.size() < limit)) {
      MemberLink next = waiting.iterator().next();
      waiting.remove(next);
      next.sendWaiting();
    }
    if (hasFree()) {
      onFree.run();
    }
  }

  /**
   * Estimates the wait for a slot of work that arrives now. Running commands are assumed to be half
   * done.
   *
   * @param workAheadMillis slot time of work that is served earlier, without commands that are
   *     running or waiting for a slot
   * @return wait in milliseconds; 0 without a limit
   */
  long waitMillis(long workAheadMillis) {
    if (!isLimited() || (hasFree() && workAheadMillis == 0)) {
      return 0;
    }
    long average = commands.averageMillis(WorkTimes.ANY_KIND);
    long taken = average * inUse.size() / 2 + average * waiting.size();
    return (taken + workAheadMillis) / limit;
  }
}
