package org.streamcourse.request.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Place;
import org.streamcourse.version.image.TenantId;

/**
 * Which nodes count a tenant's operations, by rendezvous hashing over the nodes of the image: one
 * in each region, so that all nodes of a region ask the same one, and a lost or added node is the
 * home of few tenants. A node asks the home of its region first, then the next one there, then the
 * homes of the other regions, near ones first.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class HomeOrder {
  /** Nodes among which one home is chosen. */
  public enum Scope {
    /** One home in each zone. */
    ZONE,
    /** One home in each region. */
    REGION,
    /** One home for all nodes. */
    FLEET
  }

  /** Homes that one operation asks at most, one after the other. */
  static final int MOST_HOMES = 4;

  /** Homes of the own region; the second follows when the first is lost. */
  private static final int OWN_HOMES = 2;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  /** A node with its weight for one tenant. */
  private record Candidate(NodeImage node, long weight) {}

  private final Scope scope;
  private final Place place;
  private final Map<TenantId, List<String>> known = new HashMap<>();
  private TreeMap<String, NodeImage> nodes = new TreeMap<>();

  /**
   * Creates an order.
   *
   * @param scope among which nodes one home is chosen
   * @param place where the asking node stands
   */
  public HomeOrder(Scope scope, Place place) {
    this.scope = scope;
    this.place = place;
  }

  /**
   * Finds the homes of a tenant.
   *
   * @param present nodes of the image in force
   * @param tenant the tenant
   * @return names of nodes, the one to ask first in front
   */
  public List<String> of(TreeMap<String, NodeImage> present, TenantId tenant) {
    if (present != nodes) {
      nodes = present;
      known.clear();
    }
    return known.computeIfAbsent(tenant, this::choose);
  }

  private List<String> choose(TenantId tenant) {
    Map<String, List<Candidate>> groups = new TreeMap<>();
    for (NodeImage node : nodes.values()) {
      if (!node.draining()) {
        long weight = HASH.hashChars(tenant.value() + '/' + node.name());
        groups
            .computeIfAbsent(group(node.place()), any -> new ArrayList<>())
            .add(new Candidate(node, weight));
      }
    }
    int own = scope == Scope.FLEET ? MOST_HOMES : OWN_HOMES;
    List<String> homes = new ArrayList<>(heaviest(groups.remove(group(place)), own));
    List<Candidate> others = new ArrayList<>();
    for (List<Candidate> group : groups.values()) {
      others.add(group.stream().max(Comparator.comparingLong(Candidate::weight)).orElseThrow());
    }
    others.sort(
        Comparator.comparingInt((Candidate each) -> each.node().place().distanceTo(place))
            .thenComparingLong(Candidate::weight));
    others.forEach(each -> homes.add(each.node().name()));
    return List.copyOf(homes.subList(0, Math.min(MOST_HOMES, homes.size())));
  }

  private String group(Place of) {
    return switch (scope) {
      case ZONE -> of.zone();
      case REGION -> of.region();
      case FLEET -> "";
    };
  }

  private static List<String> heaviest(List<Candidate> candidates, int most) {
    if (candidates == null) {
      return List.of();
    }
    return candidates.stream()
        .sorted(Comparator.comparingLong(Candidate::weight).reversed())
        .limit(most)
        .map(each -> each.node().name())
        .toList();
  }
}
