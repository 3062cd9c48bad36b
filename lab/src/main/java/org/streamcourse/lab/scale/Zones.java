package org.streamcourse.lab.scale;

import org.streamcourse.version.image.Placement;

/** The placements of the size to design for: two regions with three zones each. */
final class Zones {
  /** Number of zones. */
  static final int COUNT = 6;

  /** Distance between the zones of one group's members, so that a group spans both regions. */
  static final int STEP = 1;

  private static final int REGIONS = 2;

  private Zones() {}

  static Placement placement(int number) {
    int zone = Math.floorMod(number, COUNT);
    return new Placement("r" + zone % REGIONS, "z" + zone);
  }
}
