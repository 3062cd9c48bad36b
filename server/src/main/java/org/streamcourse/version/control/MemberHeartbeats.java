package org.streamcourse.version.control;

import java.util.HashMap;
import java.util.Map;
import org.streamcourse.version.control.ServiceCall.MemberHeartbeat;
import org.streamcourse.version.image.MemberId;

/**
 * Heartbeats of self-registered members that the leader has received during this leadership; not
 * replicated.
 */
final class MemberHeartbeats {
  /** Newest heartbeat of one member. */
  private record Received(long sequence, boolean primary, long atMillis) {}

  private final Map<MemberId, Received> newest = new HashMap<>();

  void clear() {
    newest.clear();
  }

  void forget(MemberId id) {
    newest.remove(id);
  }

  /**
   * Returns whether a member that was not primary in its heartbeat before reports that it is
   * primary now.
   */
  boolean isNewPrimary(MemberHeartbeat heartbeat) {
    Received known = newest.get(heartbeat.member().id());
    return heartbeat.primary() && known != null && !known.primary();
  }

  /** Returns whether a member's newest heartbeat reports that it is a replica. */
  boolean reportsReplica(MemberId id) {
    Received received = newest.get(id);
    return received != null && !received.primary();
  }

  /** Stores a heartbeat; returns false for one that arrived after a newer one. */
  boolean put(MemberHeartbeat heartbeat, long now) {
    MemberId id = heartbeat.member().id();
    Received known = newest.get(id);
    if (known != null && heartbeat.sequence() < known.sequence()) {
      return false;
    }
    newest.put(id, new Received(heartbeat.sequence(), heartbeat.primary(), now));
    return true;
  }

  /** Returns whether a member has reported within the given time that it is primary. */
  boolean claimsPrimary(MemberId id, long now, long withinMillis) {
    Received received = newest.get(id);
    return received != null && received.primary() && now - received.atMillis() <= withinMillis;
  }

  /**
   * Returns the time since a member's newest heartbeat, or since the given moment if there was
   * none.
   */
  long millisSinceHeartbeat(MemberId id, long now, long since) {
    Received received = newest.get(id);
    return now - (received == null ? since : received.atMillis());
  }
}
