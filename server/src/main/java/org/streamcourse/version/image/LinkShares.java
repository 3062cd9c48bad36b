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

  private static final int OTHER_REGION = 2;

  /** Parts that are left free, for a holder that follows one whose links still end. */
  private static final int SPARE_PARTS = 1;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  private record Candidate(String node, int distance, long weight) {}

  private static final Comparator<Candidate> NEAREST_FIRST =
      Comparator.comparingInt(Candidate::distance)
          .thenComparing(Comparator.comparingLong(Candidate::weight).reversed());

  private final ClusterImage image;
  private final Map<String, Place> zones = new HashMap<>();

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
    List<String> holders = holders(member, usable);
    List<String> others = inOrderOfNode(node, holders, member);
    if (everyNodeHolds(usable)) {
      return new LinkShare(usable / nodes(), others);
    }
    int links = holders.contains(node) ? Math.max(1, usable / (holders.size() + SPARE_PARTS)) : 0;
    return new LinkShare(links, others);
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
        : Optional.of(Set.copyOf(holders(member, usable)));
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

  private List<String> holders(RegisteredMember member, int usable) {
    Place place = zones.getOrDefault(member.zone(), new Place("", member.zone()));
    String key = member.id().value() + '/';
    List<Candidate> candidates = new ArrayList<>();
    for (NodeImage node : image.nodes().values()) {
      int distance = node.place().distanceTo(place);
      candidates.add(new Candidate(node.name(), distance, HASH.hashChars(key + node.name())));
    }
    candidates.sort(NEAREST_FIRST);
    long near = candidates.stream().filter(each -> each.distance() < OTHER_REGION).count();
    long most = near < LEAST_HOLDERS ? MOST_HOLDERS : Math.min(near, MOST_HOLDERS);
    most = Math.min(most, Math.max(1, usable));
    return candidates.stream().limit(most).map(Candidate::node).toList();
  }

  /** Each node has an order of its own, so that all holders get their part of the work. */
  private static List<String> inOrderOfNode(
      String node, List<String> holders, RegisteredMember member) {
    String key = node + '/' + member.id().value() + '/';
    return holders.stream()
        .filter(holder -> !holder.equals(node))
        .map(holder -> new Candidate(holder, 0, HASH.hashChars(key + holder)))
        .sorted(NEAREST_FIRST)
        .map(Candidate::node)
        .toList();
  }
}
