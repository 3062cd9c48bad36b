package org.streamcourse.connection.peer;

import org.streamcourse.version.image.Placement;

/** How far a peer stands, which decides what a byte to it costs. */
public enum PeerDistance {
  /** In the same zone. */
  ZONE("zone"),
  /** In another zone of the same region. */
  REGION("region"),
  /** In another region. */
  OTHER_REGION("other-region"),
  /** Neither side, or only one, has told where it stands. */
  UNKNOWN("unknown");

  private static final PeerDistance[] BY_RANK = {ZONE, REGION, OTHER_REGION};

  private final String label;

  PeerDistance(String label) {
    this.label = label;
  }

  /**
   * Returns the name on the metrics address.
   *
   * @return name in lower case
   */
  public String label() {
    return label;
  }

  /**
   * Tells how far two placements are from each other.
   *
   * @param self a placement, or null when it is not known
   * @param peer another placement, or null when it is not known
   * @return distance
   */
  public static PeerDistance between(Placement self, Placement peer) {
    return self == null || peer == null ? UNKNOWN : BY_RANK[self.distanceTo(peer)];
  }
}
