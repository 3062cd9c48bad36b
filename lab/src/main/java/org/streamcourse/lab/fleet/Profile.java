package org.streamcourse.lab.fleet;

import java.util.List;
import org.streamcourse.version.image.Placement;

/**
 * Regions, sizes and latencies of the fleet of one of the product's users.
 *
 * @param name profile's name
 * @param regions region names; each has two zones
 * @param databases group names; each has one member in each region
 * @param connections connection limit of a member
 * @param slots statements that a member runs concurrently
 * @param connectMillis time that a member takes to accept a connection
 * @param zoneMicros one-way latency between zones of a region, in microseconds
 * @param regionMicros one-way latency between regions, in microseconds
 * @param callerMicros one-way latency between callers and proxies, in microseconds
 * @param readShare share of reads in the user's traffic
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

  /** Profile of the community stations. */
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

  /** Profile of the flash card makers' association. */
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
   * Returns a profile by name.
   *
   * @param name profile's name
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
   * Returns the placement of a zone.
   *
   * @param region index of the region
   * @param zone index of the zone in that region
   * @return placement
   */
  public Placement placement(int region, int zone) {
    String regionName = regions.get(region);
    return new Placement(regionName, regionName + "-" + (zone + 1));
  }

  /**
   * Returns the one-way latency between two placements.
   *
   * @param from placement of the sender
   * @param to placement of the receiver
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
