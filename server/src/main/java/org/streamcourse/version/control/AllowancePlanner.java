package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;

/**
 * Chooses a member's gateways by rendezvous hashing and divides the member's limits among them.
 *
 * <p>Invariant: at every version the allowances add up to no more than the member's limits. A node
 * receives an allowance only after the node that had it before has closed the connections above its
 * smaller allowance, or has been gone for longer than it may keep connections.
 */
public final class AllowancePlanner {
  /** Most gateways of one member. */
  static final int GATEWAYS_PER_MEMBER = 2;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  private AllowancePlanner() {}

  /**
   * Chooses the gateways of a member: nodes of its zone first, then of its region, among equally
   * near ones by highest hash. Adding or removing a node moves only the allowances that this node
   * gains or loses.
   *
   * @param group group's name
   * @param member the member
   * @param nodes nodes that may be gateways
   * @return at most two nodes, best first
   */
  public static List<NodeImage> chooseGateways(
      String group, MemberImage member, Iterable<NodeImage> nodes) {
    String key = group + '/' + member.name() + '/';
    List<Candidate> candidates = new ArrayList<>();
    for (NodeImage node : nodes) {
      int distance = node.placement().distanceTo(member.placement());
      candidates.add(new Candidate(node, distance, HASH.hashChars(key + node.name())));
    }
    return candidates.stream()
        .sorted(
            Comparator.comparingInt(Candidate::distance)
                .thenComparing(Comparator.comparingLong(Candidate::weight).reversed()))
        .limit(GATEWAYS_PER_MEMBER)
        .map(Candidate::node)
        .toList();
  }

  private record Candidate(NodeImage node, int distance, long weight) {}

  /**
   * Plans the next allowances of a member. Reductions come first; increases follow once all nodes
   * keep to the reduced allowances.
   *
   * @param member the member with its present allowances
   * @param gateways chosen gateways
   * @param released tests whether a node has no more connections than its present allowance
   * @return new complete list, or empty when nothing can change now
   */
  public static Optional<List<Allowance>> plan(
      MemberImage member, List<NodeImage> gateways, Predicate<Allowance> released) {
    List<Allowance> target = divide(member, gateways);
    List<Allowance> present = member.allowances();
    if (present.equals(target)) {
      return Optional.empty();
    }
    List<Allowance> reduced = reduce(present, target);
    if (!reduced.equals(present)) {
      return Optional.of(reduced);
    }
    if (!present.stream().allMatch(released)) {
      return Optional.empty();
    }
    return Optional.of(target);
  }

  /**
   * Returns whether a member's allowances are the planned ones, so that no further step follows.
   *
   * @param member the member with its present allowances
   * @param gateways chosen gateways
   * @return false while allowances still have to be reduced or increased
   */
  static boolean isOnTarget(MemberImage member, List<NodeImage> gateways) {
    return member.allowances().equals(divide(member, gateways));
  }

  private static List<Allowance> divide(MemberImage member, List<NodeImage> gateways) {
    List<Allowance> allowances = new ArrayList<>();
    int count = gateways.size();
    for (int i = 0; i < count; i++) {
      int connections = part(member.connectionLimit(), count, i);
      int slots = part(member.slotLimit(), count, i);
      allowances.add(new Allowance(gateways.get(i).name(), connections, slots));
    }
    return allowances;
  }

  /**
   * Returns the i-th of count parts of a total; earlier parts are larger when the total does not
   * divide evenly.
   */
  private static int part(int total, int count, int i) {
    return total / count + (i < total % count ? 1 : 0);
  }

  /**
   * Returns the present allowances reduced to the target; a node without a target keeps an empty
   * one.
   */
  private static List<Allowance> reduce(List<Allowance> present, List<Allowance> target) {
    List<Allowance> result = new ArrayList<>();
    for (Allowance has : present) {
      Allowance gets =
          target.stream()
              .filter(each -> each.node().equals(has.node()))
              .findFirst()
              .orElse(new Allowance(has.node(), 0, 0));
      result.add(
          new Allowance(
              has.node(),
              Math.min(has.connections(), gets.connections()),
              Math.min(has.slots(), gets.slots())));
    }
    return result;
  }
}
