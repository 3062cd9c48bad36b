package org.streamcourse.lab.scale;

import org.streamcourse.version.image.Placement;

/** Placements of the fleet size that the system is designed for: two regions of three zones. */
final class Zones {
  /** Number of zones. */
  static final int COUNT = 6;

  /** Distance between the zone numbers of one group's members; a group spans both regions. */
  static final int STEP = 1;

  private static final int REGIONS = 2;

  private Zones() {}

  static Placement placement(int number) {
    int zone = Math.floorMod(number, COUNT);
    return new Placement("r" + zone % REGIONS, "z" + zone);
  }
}
