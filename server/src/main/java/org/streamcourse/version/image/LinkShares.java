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
 * changes at most one holder of a member; all others bring their statements to these.
 *
 * <p>With tenants, one holder owns the connections together with the member's slots, and two others
 * stand by: a connection serves one tenant, so four holders with a quarter each open and end them
 * for one another's tenants. Without tenants any connection serves anybody, and four holders have
 * equal parts: after a start, or when a member comes back, what waited is brought to it by four
 * nodes, of which each has only a part of a core and compiles its code anew.
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

  /**
   * An owner and two standbys: one may be down and another be cut off. Standbys also tell the
   * controllers whether the member lives, for which one node's word is too little.
   */
  private static final int HOLDERS = 3;

  /** Holders with equal parts: one may be down and another be cut off. */
  private static final int EQUAL_HOLDERS = 4;

  /** Nodes of the member's region below which nodes of other regions hold equal parts too. */
  private static final int LEAST_EQUAL_HOLDERS = 2;

  /**
   * Equal parts that are left free, for a holder that follows one whose links still end, and for a
   * node that stands in for holders of which none can be asked.
   */
  private static final int SPARE_PARTS = 1;

  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;

  /** Nodes that others ask where every node holds links: one may be down, another be cut off. */
  private static final int MOST_ASKED = 4;

  /**
   * Part of the usable connections that the owner has: with 86 tenants of unequal size before 55
   * connections each one fewer is an opening more for some statements, so little is left free. An
   * owner that follows one whose links still end waits for those that the member refuses.
   */
  private static final double OWNERS_SHARE = 0.8;

  /** Part that each standby has, to watch the member and until it is the owner itself. */
  private static final double STANDBYS_SHARE = 0.1;

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
  private final Map<String, Placement> zones = new HashMap<>();
  private final Map<String, List<List<NodeImage>>> nodesByDistance = new HashMap<>();

  /**
   * Looks at an image.
   *
   * @param image the image
   */
  public LinkShares(ClusterImage image) {
    this.image = image;
    image.nodes().values().forEach(node -> zones.put(node.placement().zone(), node.placement()));
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
    if (everyNodeHolds(usable)) {
      List<String> asked = nearest(member, MOST_ASKED);
      return LinkShare.ofEveryNode(usable / nodes(), inOrderOfNode(node, asked, member));
    }
    int most = hasOwners() ? holders(usable) : equalHolders(member, usable);
    List<String> near = nearest(member, most + MOST_STAND_INS);
    List<String> holders = near.subList(0, Math.min(most, near.size()));
    List<String> standIns = near.subList(holders.size(), near.size());
    return hasOwners()
        ? ofOwner(member, node, holders, standIns, usable)
        : ofEqualHolders(member, node, holders, standIns, usable);
  }

  /** Whether one holder owns a member's connections. */
  private boolean hasOwners() {
    return !image.document().tenants().isEmpty();
  }

  private static LinkShare ofEqualHolders(
      RegisteredMember member,
      String node,
      List<String> holders,
      List<String> standIns,
      int usable) {
    int part = Math.max(1, usable / (holders.size() + SPARE_PARTS));
    return new LinkShare(
        LinkShare.Role.SHARER,
        holders.contains(node) ? part : 0,
        LinkShare.UNCOUNTED_SLOTS,
        inOrderOfNode(node, holders, member),
        without(node, standIns),
        standIns.contains(node) ? part : 0);
  }

  private static LinkShare ofOwner(
      RegisteredMember member,
      String node,
      List<String> holders,
      List<String> standIns,
      int usable) {
    LinkShare.Role role = role(node, holders);
    return new LinkShare(
        role,
        linksOf(role, usable),
        member.slots(),
        without(node, holders),
        without(node, standIns),
        standInLinks(role, standIns.contains(node), usable));
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
      case OWNER -> ownersPart(usable);
      case STANDBY -> standbysPart(usable);
      default -> 0;
    };
  }

  /**
   * A standby may have the owner's part while it serves in its place: transactions that rest hold
   * links, so with its own part alone it would starve. The member refuses what is too much while
   * connections of a dark owner still count there.
   */
  private static int standInLinks(LinkShare.Role role, boolean standsIn, int usable) {
    if (role == LinkShare.Role.STANDBY) {
      return ownersPart(usable);
    }
    return standsIn ? standbysPart(usable) : 0;
  }

  private static int ownersPart(int usable) {
    int leftByStandbys = usable - (holders(usable) - 1) * standbysPart(usable);
    return Math.max(1, Math.min((int) (usable * OWNERS_SHARE), leftByStandbys));
  }

  private static int standbysPart(int usable) {
    return Math.max(1, (int) (usable * STANDBYS_SHARE));
  }

  private static List<String> without(String node, List<String> names) {
    return names.stream().filter(each -> !each.equals(node)).toList();
  }

  /**
   * Finds the few holders of a member's connections, which see the member.
   *
   * @param service service of the member
   * @param member the member
   * @return names of the nodes, or nothing when every node holds some
   */
  public Optional<Set<String>> fewHolders(String service, RegisteredMember member) {
    int usable = usableConnections(service);
    int few = hasOwners() ? holders(usable) : equalHolders(member, usable);
    return everyNodeHolds(usable)
        ? Optional.empty()
        : Optional.of(Set.copyOf(nearest(member, few)));
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

  private static int holders(int usable) {
    return Math.min(HOLDERS, Math.max(1, usable));
  }

  private int equalHolders(RegisteredMember member, int usable) {
    List<List<NodeImage>> byDistance = byDistance(member);
    int near = byDistance.get(SAME_ZONE).size() + byDistance.get(SAME_REGION).size();
    int most = near < LEAST_EQUAL_HOLDERS ? EQUAL_HOLDERS : Math.min(near, EQUAL_HOLDERS);
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
    Placement placement = zones.getOrDefault(zone, new Placement("", zone));
    List<List<NodeImage>> nodes = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (NodeImage node : image.nodes().values()) {
      nodes.get(node.placement().distanceTo(placement)).add(node);
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
