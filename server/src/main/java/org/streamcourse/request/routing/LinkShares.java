package org.streamcourse.request.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.connection.member.LinkShare;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Place;
import org.streamcourse.version.image.RegisteredMember;

/**
 * Divides the connections that members accept among the nodes of an image.
 *
 * <p>Where the connections suffice, every node has the same part of each member's. Otherwise a few
 * nodes near the member hold them, chosen by rendezvous hashing, so that an added or lost node
 * changes at most one holder of a member; the others bring their statements to them.
 */
final class LinkShares {
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
  private final String self;
  private final Map<String, Place> zones = new HashMap<>();

  /**
   * Looks at an image.
   *
   * @param image the image
   * @param self name of this node
   */
  LinkShares(ClusterImage image, String self) {
    this.image = image;
    this.self = self;
    image.nodes().values().forEach(node -> zones.put(node.place().zone(), node.place()));
  }

  /**
   * Finds this node's part.
   *
   * @param service service of the member
   * @param member the member
   * @return links that this node may have, or the nodes that have some
   */
  LinkShare of(String service, RegisteredMember member) {
    int limit =
        image
            .document()
            .service(service)
            .map(rules -> rules.maxConnections())
            .orElse(DEFAULT_CONNECTIONS);
    int usable = limit - RESERVED_CONNECTIONS;
    int nodes = Math.max(1, image.nodes().size());
    List<String> holders = holders(member, usable);
    if (usable / nodes >= LEAST_LINKS_A_NODE) {
      return new LinkShare(usable / nodes, inOrderOfThisNode(holders, member));
    }
    boolean holds = holders.contains(self);
    int links = holds ? Math.max(1, usable / (holders.size() + SPARE_PARTS)) : 0;
    return new LinkShare(links, inOrderOfThisNode(holders, member));
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
  private List<String> inOrderOfThisNode(List<String> holders, RegisteredMember member) {
    String key = self + '/' + member.id().value() + '/';
    return holders.stream()
        .filter(holder -> !holder.equals(self))
        .map(holder -> new Candidate(holder, 0, HASH.hashChars(key + holder)))
        .sorted(NEAREST_FIRST)
        .map(Candidate::node)
        .toList();
  }
}
