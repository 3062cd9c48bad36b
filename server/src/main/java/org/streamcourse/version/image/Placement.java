package org.streamcourse.version.image;

/**
 * Region and zone of a node or member.
 *
 * @param region region name
 * @param zone zone name, unique among all regions
 */
public record Placement(String region, String zone) {
  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;
  private static final int OTHER_REGION = 2;

  /**
   * Returns the distance to another placement.
   *
   * @param other another placement
   * @return 0 in the same zone, 1 in the same region, 2 elsewhere
   */
  public int distanceTo(Placement other) {
    if (zone.equals(other.zone)) {
      return SAME_ZONE;
    }
    return region.equals(other.region) ? SAME_REGION : OTHER_REGION;
  }
}
