package org.streamcourse.version.control;

import org.streamcourse.version.image.TermPosition;

/**
 * What a member of a service with synchronous replicas reports about its replication.
 *
 * @param primary whether the member is primary; the pause of a primary has no effect
 * @param term newest term that the member knows
 * @param received end of the member's log
 * @param paused whether the member receives no log entries until it is resumed
 */
public record ReplicationStatus(boolean primary, long term, TermPosition received, boolean paused) {
  /** Returns whether the end of the log can't change: the member is a paused replica. */
  boolean isFenced() {
    return paused && !primary;
  }
}
