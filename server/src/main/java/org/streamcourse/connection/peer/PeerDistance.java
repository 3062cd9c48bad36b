package org.streamcourse.connection.peer;

import org.streamcourse.version.image.Placement;

/** Distance of a peer by region and zone, which determines the cost of traffic to it. */
public enum PeerDistance {
  /** In the same zone. */
  ZONE("zone"),
  /** In another zone of the same region. */
  REGION("region"),
  /** In another region. */
  OTHER_REGION("other-region"),
  /** The placement of one or both sides is not known. */
  UNKNOWN("unknown");

  private static final PeerDistance[] BY_RANK = {ZONE, REGION, OTHER_REGION};

  private final String label;

  PeerDistance(String label) {
    this.label = label;
  }

  /**
   * Returns the value of the metrics label.
   *
   * @return name in lower case
   */
  public String label() {
    return label;
  }

  /**
   * Returns the distance between two placements.
   *
   * @param self a placement, or null when it is not known
   * @param peer another placement, or null when it is not known
   * @return distance
   */
  public static PeerDistance between(Placement self, Placement peer) {
    return self == null || peer == null ? UNKNOWN : BY_RANK[self.distanceTo(peer)];
  }
}
