package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Divides the connections that members accept among the nodes of an image.
 *
 * <p>Where the connections suffice, every node has the same part of each member's. Otherwise a few
 * nodes near the member hold them, chosen by rendezvous hashing, so that an added or lost node
 * changes at most one holder of a member; the others bring their statements to them.
 */
public final class LinkShares {
  /** Connections of each member that are left for the controllers' questions. */
  private static final int RESERVED_CONNECTIONS = 1;

  private static final int DEFAULT_CONNECTIONS = 16;

  /**
   * Links that each node must get for every node to hold some. With fewer, requests wait for a link
   * of their node while others stand idle; the table of rounds in docs/POLICIES.md has the figures.
   */
  private static final int LEAST_LINKS_A_NODE = 3;

  /** Most nodes that hold a member's connections: one may be down and another be cut off. */
  private static final int MOST_HOLDERS = 4;

  /** Nodes of the member's region below which nodes of other regions hold connections too. */
  private static final int LEAST_HOLDERS = 2;

  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;

  /**
   * Parts that are left free, for a holder that follows one whose links still end, and for a node
   * that stands in for holders of which none can be asked.
   */
  private static final int SPARE_PARTS = 1;

  /**
   * Nodes that may stand in for a member's holders. Where three of four nodes lose power at once,
   * one of eight is left in nine cases of ten.
   */
  private static final int MOST_STAND_INS = 8;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  private record Candidate(String node, long weight) {}

  private static final Comparator<Candidate> HEAVIEST_FIRST =
      Comparator.comparingLong(Candidate::weight).reversed();

  private final ClusterImage image;
  private final Map<String, Place> zones = new HashMap<>();
  private final Map<String, List<List<NodeImage>>> nodesByDistance = new HashMap<>();

  /**
   * Looks at an image.
   *
   * @param image the image
   */
  public LinkShares(ClusterImage image) {
    this.image = image;
    image.nodes().values().forEach(node -> zones.put(node.place().zone(), node.place()));
  }

  /**
   * Finds a node's part.
   *
   * @param service service of the member
   * @param member the member
   * @param node name of the node
   * @return links that the node may have, and the nodes to ask when it gets none
   */
  public LinkShare of(String service, RegisteredMember member, String node) {
    int usable = usableConnections(service);
    int most = mostHolders(member, usable);
    if (everyNodeHolds(usable)) {
      List<String> holders = nearest(member, most);
      return LinkShare.ofEveryNode(usable / nodes(), inOrderOfNode(node, holders, member));
    }
    List<String> near = nearest(member, most + MOST_STAND_INS);
    List<String> holders = near.subList(0, Math.min(most, near.size()));
    List<String> standIns = near.subList(holders.size(), near.size());
    int part = Math.max(1, usable / (holders.size() + SPARE_PARTS));
    return new LinkShare(
        holders.contains(node) ? part : 0,
        inOrderOfNode(node, holders, member),
        standIns.stream().filter(each -> !each.equals(node)).toList(),
        standIns.contains(node) ? part : 0);
  }

  /**
   * Finds the few nodes that hold a member's connections.
   *
   * @param service service of the member
   * @param member the member
   * @return names of the nodes, or nothing when every node holds some
   */
  public Optional<Set<String>> fewHolders(String service, RegisteredMember member) {
    int usable = usableConnections(service);
    return everyNodeHolds(usable)
        ? Optional.empty()
        : Optional.of(Set.copyOf(nearest(member, mostHolders(member, usable))));
  }

  private int usableConnections(String service) {
    int limit =
        image
            .document()
            .service(service)
            .map(rules -> rules.maxConnections())
            .orElse(DEFAULT_CONNECTIONS);
    return limit - RESERVED_CONNECTIONS;
  }

  private int nodes() {
    return Math.max(1, image.nodes().size());
  }

  private boolean everyNodeHolds(int usable) {
    return usable / nodes() >= LEAST_LINKS_A_NODE;
  }

  private int mostHolders(RegisteredMember member, int usable) {
    List<List<NodeImage>> byDistance = byDistance(member);
    int near = byDistance.get(SAME_ZONE).size() + byDistance.get(SAME_REGION).size();
    int most = near < LEAST_HOLDERS ? MOST_HOLDERS : Math.min(near, MOST_HOLDERS);
    return Math.min(most, Math.max(1, usable));
  }

  /** Nodes near a member; a longer list begins with a shorter one. */
  private List<String> nearest(RegisteredMember member, int most) {
    String key = member.id().value() + '/';
    List<String> nearest = new ArrayList<>();
    for (List<NodeImage> equallyFar : byDistance(member)) {
      if (nearest.size() < most) {
        nearest.addAll(heaviest(equallyFar, key, most - nearest.size()));
      }
    }
    return nearest;
  }

  private List<List<NodeImage>> byDistance(RegisteredMember member) {
    return nodesByDistance.computeIfAbsent(member.zone(), this::nodesByDistance);
  }

  /** Sorted by zone once and not for each member: each image is looked at by all nodes. */
  private List<List<NodeImage>> nodesByDistance(String zone) {
    Place place = zones.getOrDefault(zone, new Place("", zone));
    List<List<NodeImage>> nodes = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (NodeImage node : image.nodes().values()) {
      nodes.get(node.place().distanceTo(place)).add(node);
    }
    return nodes;
  }

  private static List<String> heaviest(List<NodeImage> nodes, String key, int most) {
    List<Candidate> candidates = new ArrayList<>(nodes.size());
    for (NodeImage node : nodes) {
      candidates.add(new Candidate(node.name(), HASH.hashChars(key + node.name())));
    }
    candidates.sort(HEAVIEST_FIRST);
    return candidates.stream().limit(most).map(Candidate::node).toList();
  }

  /** Each node has an order of its own, so that all holders get their part of the work. */
  private static List<String> inOrderOfNode(
      String node, List<String> holders, RegisteredMember member) {
    String key = node + '/' + member.id().value() + '/';
    return holders.stream()
        .filter(holder -> !holder.equals(node))
        .map(holder -> new Candidate(holder, HASH.hashChars(key + holder)))
        .sorted(HEAVIEST_FIRST)
        .map(Candidate::node)
        .toList();
  }
}
