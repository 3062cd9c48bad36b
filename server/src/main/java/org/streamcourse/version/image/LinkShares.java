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
 * Divides the connections that members accept (member links) among the nodes of an image.
 *
 * <p>If there are enough connections, every node gets an equal share of each member's. Otherwise a
 * few nodes near the member hold them, chosen by rendezvous hashing, so that adding or losing a
 * node changes at most one holder of a member; all other nodes relay their statements to the
 * holders.
 *
 * <p>With tenants, one holder owns the connections together with the member's slots, and two others
 * are standbys. Each connection serves one tenant, so four holders with a quarter each would keep
 * closing connections of one tenant to open them for another. Without tenants any connection serves
 * any caller, and four holders have equal shares: after a start, or when a member comes back, the
 * queued statements are run by four nodes, each of which has only a part of a core and a JVM whose
 * code is not compiled yet.
 */
public final class LinkShares {
  /** Connections of each member that are reserved for the controllers' queries. */
  private static final int RESERVED_CONNECTIONS = 1;

  private static final int DEFAULT_CONNECTIONS = 16;

  /**
   * Smallest equal share with which every node holds member links. With fewer links a node,
   * requests wait for a link of their node while links of other nodes are idle; the row "Two links
   * a node" in docs/POLICIES.md has the figures.
   */
  private static final int MIN_LINKS_PER_NODE = 3;

  /**
   * An owner and two standbys, so that one may be down and another unreachable. Standbys also
   * report to the controllers whether the member is reachable; a single node's report is not
   * enough.
   */
  private static final int OWNER_AND_STANDBYS = 3;

  /**
   * Maximum number of holders with equal shares, so that one may be down and another unreachable.
   */
  private static final int MAX_EQUAL_HOLDERS = 4;

  /** Number of nodes in the member's region below which other regions' nodes are holders too. */
  private static final int MIN_EQUAL_HOLDERS = 2;

  /**
   * Equal shares left unassigned, for a new holder while the former one is still closing its links,
   * and for a fallback holder while no holder can be reached.
   */
  private static final int SPARE_SHARES = 1;

  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;

  /**
   * Holders listed for a node where every node holds links, so that one may be down and another
   * unreachable.
   */
  private static final int MAX_LISTED_HOLDERS = 4;

  /**
   * Fraction of the usable connections that the owner gets. Little is left unassigned, since with
   * 86 tenants of unequal size and 55 connections, each connection fewer makes more statements wait
   * for one to be opened. While the former owner is still closing its links, the member refuses
   * some connections of the new owner, which then waits for them.
   */
  private static final double OWNER_FRACTION = 0.8;

  /**
   * Fraction of the usable connections that each standby gets, to watch the member and to serve
   * statements until it becomes the owner.
   */
  private static final double STANDBY_FRACTION = 0.1;

  /**
   * Maximum number of a member's fallback holders. If three of four nodes lose power at once, at
   * least one of eight is left in nine cases out of ten.
   */
  private static final int MAX_FALLBACK_HOLDERS = 8;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  private record Candidate(String node, long weight) {}

  private static final Comparator<Candidate> HIGHEST_WEIGHT_FIRST =
      Comparator.comparingLong(Candidate::weight).reversed();

  private final ClusterImage image;
  private final Map<String, Placement> placementByZone = new HashMap<>();
  private final Map<String, List<List<NodeImage>>> nodesByDistance = new HashMap<>();

  /**
   * Creates the shares of an image.
   *
   * @param image image whose nodes share the connections
   */
  public LinkShares(ClusterImage image) {
    this.image = image;
    image
        .nodes()
        .values()
        .forEach(node -> placementByZone.put(node.placement().zone(), node.placement()));
  }

  /**
   * Returns a node's share of a member's connections.
   *
   * @param service service of the member
   * @param member the member
   * @param node name of the node
   * @return number of member links that the node may have, and the holders to which it relays
   */
  public LinkShare of(String service, RegisteredMember member, String node) {
    int usable = usableConnections(service);
    if (everyNodeHoldsLinks(usable)) {
      List<String> listed = nearest(member, MAX_LISTED_HOLDERS);
      return LinkShare.ofEveryNode(usable / nodes(), orderedForNode(node, listed, member));
    }
    int limit = hasOwners() ? holders(usable) : equalHolders(member, usable);
    List<String> near = nearest(member, limit + MAX_FALLBACK_HOLDERS);
    List<String> holders = near.subList(0, Math.min(limit, near.size()));
    List<String> fallbackHolders = near.subList(holders.size(), near.size());
    return hasOwners()
        ? ofOwner(member, node, holders, fallbackHolders, usable)
        : ofEqualHolders(member, node, holders, fallbackHolders, usable);
  }

  /** Returns whether one holder owns a member's connections. */
  private boolean hasOwners() {
    return !image.document().tenants().isEmpty();
  }

  private static LinkShare ofEqualHolders(
      RegisteredMember member,
      String node,
      List<String> holders,
      List<String> fallbackHolders,
      int usable) {
    int share = Math.max(1, usable / (holders.size() + SPARE_SHARES));
    return new LinkShare(
        LinkShare.Role.SHARER,
        holders.contains(node) ? share : 0,
        LinkShare.UNCOUNTED_SLOTS,
        orderedForNode(node, holders, member),
        without(node, fallbackHolders),
        fallbackHolders.contains(node) ? share : 0);
  }

  private static LinkShare ofOwner(
      RegisteredMember member,
      String node,
      List<String> holders,
      List<String> fallbackHolders,
      int usable) {
    LinkShare.Role role = role(node, holders);
    return new LinkShare(
        role,
        linksOf(role, usable),
        member.slots(),
        without(node, holders),
        without(node, fallbackHolders),
        fallbackLinks(role, fallbackHolders.contains(node), usable));
  }

  private static LinkShare.Role role(String node, List<String> holders) {
    return switch (holders.indexOf(node)) {
      case -1 -> LinkShare.Role.ASKER;
      case 0 -> LinkShare.Role.OWNER;
      default -> LinkShare.Role.STANDBY;
    };
  }

  private static int linksOf(LinkShare.Role role, int usable) {
    return switch (role) {
      case OWNER -> ownerLinks(usable);
      case STANDBY -> standbyLinks(usable);
      default -> 0;
    };
  }

  /**
   * Returns the links that a node may have as a fallback holder. A standby that replaces the owner
   * may use the owner's share: open idle transactions occupy links, so its own share would not
   * suffice. While connections of an unreachable owner still count at the member, the member
   * refuses the excess ones.
   */
  private static int fallbackLinks(LinkShare.Role role, boolean isFallback, int usable) {
    if (role == LinkShare.Role.STANDBY) {
      return ownerLinks(usable);
    }
    return isFallback ? standbyLinks(usable) : 0;
  }

  private static int ownerLinks(int usable) {
    int withoutStandbys = usable - (holders(usable) - 1) * standbyLinks(usable);
    return Math.max(1, Math.min((int) (usable * OWNER_FRACTION), withoutStandbys));
  }

  private static int standbyLinks(int usable) {
    return Math.max(1, (int) (usable * STANDBY_FRACTION));
  }

  private static List<String> without(String node, List<String> names) {
    return names.stream().filter(each -> !each.equals(node)).toList();
  }

  /**
   * Returns the holders of a member's connections. Only these nodes observe the member.
   *
   * @param service service of the member
   * @param member the member
   * @return names of the nodes, or empty when every node holds connections
   */
  public Optional<Set<String>> designatedHolders(String service, RegisteredMember member) {
    int usable = usableConnections(service);
    int limit = hasOwners() ? holders(usable) : equalHolders(member, usable);
    return everyNodeHoldsLinks(usable)
        ? Optional.empty()
        : Optional.of(Set.copyOf(nearest(member, limit)));
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

  private boolean everyNodeHoldsLinks(int usable) {
    return usable / nodes() >= MIN_LINKS_PER_NODE;
  }

  private static int holders(int usable) {
    return Math.min(OWNER_AND_STANDBYS, Math.max(1, usable));
  }

  private int equalHolders(RegisteredMember member, int usable) {
    List<List<NodeImage>> byDistance = byDistance(member);
    int near = byDistance.get(SAME_ZONE).size() + byDistance.get(SAME_REGION).size();
    int limit = near < MIN_EQUAL_HOLDERS ? MAX_EQUAL_HOLDERS : Math.min(near, MAX_EQUAL_HOLDERS);
    return Math.min(limit, Math.max(1, usable));
  }

  /** Returns the nodes nearest to a member; a shorter list is a prefix of a longer one. */
  private List<String> nearest(RegisteredMember member, int limit) {
    String key = member.id().value() + '/';
    List<String> nearest = new ArrayList<>();
    for (List<NodeImage> equallyFar : byDistance(member)) {
      if (nearest.size() < limit) {
        nearest.addAll(highestWeights(equallyFar, key, limit - nearest.size()));
      }
    }
    return nearest;
  }

  private List<List<NodeImage>> byDistance(RegisteredMember member) {
    return nodesByDistance.computeIfAbsent(member.zone(), this::nodesByDistance);
  }

  /**
   * Groups nodes once per zone instead of once per member, since every node does this for each
   * image.
   */
  private List<List<NodeImage>> nodesByDistance(String zone) {
    Placement placement = placementByZone.getOrDefault(zone, new Placement("", zone));
    List<List<NodeImage>> nodes = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (NodeImage node : image.nodes().values()) {
      nodes.get(node.placement().distanceTo(placement)).add(node);
    }
    return nodes;
  }

  private static List<String> highestWeights(List<NodeImage> nodes, String key, int limit) {
    List<Candidate> candidates = new ArrayList<>(nodes.size());
    for (NodeImage node : nodes) {
      candidates.add(new Candidate(node.name(), HASH.hashChars(key + node.name())));
    }
    candidates.sort(HIGHEST_WEIGHT_FIRST);
    return candidates.stream().limit(limit).map(Candidate::node).toList();
  }

  /** Orders holders differently for each node, so that the load spreads over all holders. */
  private static List<String> orderedForNode(
      String node, List<String> holders, RegisteredMember member) {
    String key = node + '/' + member.id().value() + '/';
    return holders.stream()
        .filter(holder -> !holder.equals(node))
        .map(holder -> new Candidate(holder, HASH.hashChars(key + holder)))
        .sorted(HIGHEST_WEIGHT_FIRST)
        .map(Candidate::node)
        .toList();
  }
}
