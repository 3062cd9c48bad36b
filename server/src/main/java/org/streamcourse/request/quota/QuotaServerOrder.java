package org.streamcourse.request.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TenantId;

/**
 * Selects the quota servers of a tenant by rendezvous hashing over the nodes of the image: one in
 * each region, so that all nodes of a region use the same one, and the loss or addition of a node
 * moves few tenants. A node uses the quota server of its region first, then the second one there,
 * then those of the other regions, near ones first.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class QuotaServerOrder {
  /** Groups of nodes in each of which one quota server is chosen. */
  public enum Scope {
    /** One quota server in each zone. */
    ZONE,
    /** One quota server in each region. */
    REGION,
    /** One quota server for all nodes. */
    FLEET
  }

  /** Greatest number of quota servers that one operation tries, one after the other. */
  static final int MAX_QUOTA_SERVERS = 4;

  /** Quota servers in the node's own group; the second one is used when the first is lost. */
  private static final int OWN_GROUP_SERVERS = 2;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  /** A node with its weight for one tenant. */
  private record Candidate(NodeImage node, long weight) {}

  private final Scope scope;
  private final Placement placement;
  private final Map<TenantId, List<String>> cache = new HashMap<>();
  private TreeMap<String, NodeImage> nodes = new TreeMap<>();

  /**
   * Creates an order.
   *
   * @param scope groups of nodes in each of which one quota server is chosen
   * @param placement region and zone of this node
   */
  public QuotaServerOrder(Scope scope, Placement placement) {
    this.scope = scope;
    this.placement = placement;
  }

  /**
   * Finds the quota servers of a tenant.
   *
   * @param present nodes of the image in force
   * @param tenant the tenant
   * @return names of nodes, in the order in which they are tried
   */
  public List<String> of(TreeMap<String, NodeImage> present, TenantId tenant) {
    if (present != nodes) {
      nodes = present;
      cache.clear();
    }
    return cache.computeIfAbsent(tenant, this::choose);
  }

  private List<String> choose(TenantId tenant) {
    Map<String, List<Candidate>> groups = new TreeMap<>();
    for (NodeImage node : nodes.values()) {
      if (!node.draining()) {
        long weight = HASH.hashChars(tenant.value() + '/' + node.name());
        groups
            .computeIfAbsent(group(node.placement()), any -> new ArrayList<>())
            .add(new Candidate(node, weight));
      }
    }
    int own = scope == Scope.FLEET ? MAX_QUOTA_SERVERS : OWN_GROUP_SERVERS;
    List<String> quotaServers = new ArrayList<>(heaviest(groups.remove(group(placement)), own));
    List<Candidate> others = new ArrayList<>();
    for (List<Candidate> group : groups.values()) {
      others.add(group.stream().max(Comparator.comparingLong(Candidate::weight)).orElseThrow());
    }
    others.sort(
        Comparator.comparingInt((Candidate each) -> each.node().placement().distanceTo(placement))
            .thenComparingLong(Candidate::weight));
    others.forEach(each -> quotaServers.add(each.node().name()));
    return List.copyOf(quotaServers.subList(0, Math.min(MAX_QUOTA_SERVERS, quotaServers.size())));
  }

  private String group(Placement of) {
    return switch (scope) {
      case ZONE -> of.zone();
      case REGION -> of.region();
      case FLEET -> "";
    };
  }

  private static List<String> heaviest(List<Candidate> candidates, int limit) {
    if (candidates == null) {
      return List.of();
    }
    return candidates.stream()
        .sorted(Comparator.comparingLong(Candidate::weight).reversed())
        .limit(limit)
        .map(each -> each.node().name())
        .toList();
  }
}
