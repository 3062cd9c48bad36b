package org.streamcourse.lab.fleet;

import java.util.List;
import org.streamcourse.version.image.Placement;

/**
 * The placements, sizes and latencies of one of the users.
 *
 * @param name profile's name
 * @param regions region names; each has two zones
 * @param databases group names; each has one member in each region
 * @param connections connections that a member accepts
 * @param slots statements that a member runs at the same time
 * @param connectMillis time of a connect to a member
 * @param zoneMicros one-way latency between zones of a region, in microseconds
 * @param regionMicros one-way latency between regions, in microseconds
 * @param callerMicros one-way latency between callers and proxies, in microseconds
 * @param readShare share of reads in the users' traffic
 */
public record Profile(
    String name,
    List<String> regions,
    List<String> databases,
    int connections,
    int slots,
    long connectMillis,
    long zoneMicros,
    long regionMicros,
    long callerMicros,
    double readShare) {
  /** Zones of each region. */
  public static final int ZONES_PER_REGION = 2;

  /** The community stations. */
  public static final Profile STATIONS =
      new Profile(
          "stations",
          List.of("lower-mainland", "vancouver-island", "okanagan"),
          List.of("scheduling", "playout", "rundowns"),
          40,
          5,
          12,
          1_500,
          20_000,
          3_000,
          0.8);

  /** The flash card makers. */
  public static final Profile ASSOCIATION =
      new Profile(
          "association",
          List.of("taipei", "taichung", "kaohsiung"),
          List.of("decks", "royalties", "catalogue"),
          100,
          10,
          12,
          500,
          8_000,
          3_000,
          0.95);

  /**
   * Finds a profile.
   *
   * @param name its name
   * @return profile
   */
  public static Profile named(String name) {
    return switch (name) {
      case "stations" -> STATIONS;
      case "association" -> ASSOCIATION;
      default ->
          throw new IllegalArgumentException(
              "unknown profile '" + name + "', expected stations or association");
    };
  }

  /**
   * Returns a placement.
   *
   * @param region index of the region
   * @param zone index of the zone in it
   * @return placement
   */
  public Placement placement(int region, int zone) {
    String regionName = regions.get(region);
    return new Placement(regionName, regionName + "-" + (zone + 1));
  }

  /**
   * Returns the one-way latency between two placements.
   *
   * @param from one placement
   * @param to the other
   * @return microseconds
   */
  public long latencyMicros(Placement from, Placement to) {
    return switch (from.distanceTo(to)) {
      case 0 -> 0;
      case 1 -> zoneMicros;
      default -> regionMicros;
    };
  }
}
