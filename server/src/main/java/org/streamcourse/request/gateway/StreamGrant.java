package org.streamcourse.request.gateway;

import org.streamcourse.connection.backend.MemberPool;
import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.connection.backend.PoolEntry;
import org.streamcourse.process.Worker;

/**
 * The connection and the slot that one stream holds at a member. A clean connection is returned to
 * the pool; any other is discarded together with its slot. All methods run on the gateway's worker.
 */
final class StreamGrant {
  private final MemberPool pool;
  private final Worker worker;
  private PoolEntry entry;
  private boolean slotHeld;
  private boolean paused;
  private long slotHeldSince;

  StreamGrant(MemberPool pool, Worker worker) {
    this.pool = pool;
    this.worker = worker;
  }

  /** Takes a slot, and with the first one a connection; {@code grantedEntry} is null after that. */
  void granted(PoolEntry grantedEntry) {
    slotHeld = true;
    slotHeldSince = worker.now();
    if (grantedEntry != null) {
      entry = grantedEntry;
    }
  }

  /** Returns a grant that arrives after its stream has ended. */
  void decline(PoolEntry grantedEntry) {
    pool.releaseSlot(0);
    if (grantedEntry != null) {
      pool.release(grantedEntry);
    }
  }

  /** Returns the connection, or null before the first grant and after its return. */
  PoolEntry entry() {
    return entry;
  }

  MemberSession session() {
    return entry.session();
  }

  void pauseReading() {
    if (entry != null && !paused) {
      paused = true;
      entry.session().pauseReading();
    }
  }

  void resumeReading() {
    if (entry != null && paused) {
      paused = false;
      entry.session().resumeReading();
    }
  }

  void releaseSlot() {
    if (slotHeld) {
      slotHeld = false;
      pool.releaseSlot(worker.now() - slotHeldSince);
    }
  }

  /** Returns the slot and the connection, which is idle and clean, to the pool. */
  void release() {
    releaseSlot();
    if (entry != null) {
      resumeReading();
      PoolEntry released = entry;
      entry = null;
      pool.release(released);
    }
  }

  /**
   * Discards the connection. The slot stays taken until the member has ended the connection, since
   * the member may still be running a statement.
   */
  void discard() {
    if (entry != null) {
      PoolEntry discarded = entry;
      boolean withSlot = slotHeld;
      entry = null;
      slotHeld = false;
      pool.discard(discarded, withSlot);
    }
  }
}
