package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.streamcourse.version.image.QuotaHolder;

/**
 * Divides a tenant's limit among the nodes on which the tenant has operations.
 *
 * <p>While little of the limit is assigned, each node gets its recent usage and headroom. Once most
 * of the limit is assigned, each node gets its usage and its queued operations, and the nodes with
 * the largest usage one operation more. If the limit does not suffice for this, nodes with small
 * needs get all that they need and the other nodes get equal parts.
 */
final class QuotaPlan {
  /**
   * Fraction of the limit up to which shares include headroom. The rest is left for restarted
   * nodes: the shares of their earlier incarnations count as used for a window.
   */
  private static final double HEADROOM_FRACTION = 0.7;

  /** Headroom of a share: one operation for each so many that were used recently. */
  private static final int USED_PER_HEADROOM = 3;

  /** Fraction of the limit that is kept free for nodes that report a demand next. */
  private static final double FREE_FRACTION = 0.1;

  /**
   * Smallest number of surplus operations for which a share is lowered, since each change costs a
   * record of the replicated log.
   */
  private static final int MIN_SURPLUS = 2;

  private static final int NO_CEILING = Integer.MAX_VALUE;

  /**
   * A node's present share and its need.
   *
   * @param holder the node's present incarnation
   * @param operations its present share
   * @param used operations in its last window
   * @param waiting operations that it could not run recently
   */
  record Need(QuotaHolder holder, int operations, int used, int waiting) {
    private int withHeadroom() {
      return Math.max(operations, minimum() + 1 + used / USED_PER_HEADROOM);
    }

    private int minimum() {
      return used + waiting;
    }
  }

  /**
   * A node's planned share.
   *
   * @param holder the node's present incarnation
   * @param operations its new share; not below the present one
   * @param ceiling value to which the node is to lower its share
   * @param exhausted whether the limit does not suffice for the node's queued operations
   */
  record Share(QuotaHolder holder, int operations, int ceiling, boolean exhausted) {}

  private QuotaPlan() {}

  /**
   * Divides a limit.
   *
   * @param budget operations in a window of all nodes together
   * @param reserved operations that are assigned to nodes with unknown needs
   * @param needs nodes whose needs are known
   * @return a share for each of them, in the same order
   */
  static List<Share> divide(int budget, int reserved, List<Need> needs) {
    long withHeadroom = reserved;
    long assigned = reserved;
    for (Need need : needs) {
      withHeadroom += need.withHeadroom();
      assigned += need.operations();
    }
    if (withHeadroom <= HEADROOM_FRACTION * budget) {
      return needs.stream()
          .map(need -> new Share(need.holder(), need.withHeadroom(), NO_CEILING, false))
          .toList();
    }
    return divideWithoutHeadroom(Math.max(0, budget - reserved), budget - assigned, needs);
  }

  private static List<Share> divideWithoutHeadroom(int budget, long unassigned, List<Need> needs) {
    int[] targets = targets(budget, needs);
    long left = Math.max(0, unassigned);
    List<Share> shares = new ArrayList<>();
    for (int i = 0; i < targets.length; i++) {
      Need need = needs.get(i);
      int more = (int) Math.min(left, Math.max(0, targets[i] - need.operations()));
      left -= more;
      boolean surplus = need.operations() - targets[i] >= MIN_SURPLUS;
      int ceiling = surplus ? targets[i] : NO_CEILING;
      boolean exhausted = targets[i] < need.used() + need.waiting();
      shares.add(new Share(need.holder(), need.operations() + more, ceiling, exhausted));
    }
    return shares;
  }

  /**
   * Returns the target of each node: small needs are met first, and the rest is divided equally
   * among the nodes with larger needs.
   */
  private static int[] targets(int budget, List<Need> needs) {
    List<Integer> bySize = new ArrayList<>();
    for (int i = 0; i < needs.size(); i++) {
      bySize.add(i);
    }
    bySize.sort(Comparator.comparingInt(i -> needs.get(i).minimum()));
    int[] targets = new int[needs.size()];
    int left = budget;
    int nodes = needs.size();
    for (int index : bySize) {
      int target = Math.min(needs.get(index).minimum(), left / nodes);
      targets[index] = target;
      left -= target;
      nodes--;
    }
    Collections.reverse(bySize);
    for (int index : bySize) {
      if (left > FREE_FRACTION * budget) {
        targets[index]++;
        left--;
      }
    }
    return targets;
  }
}
