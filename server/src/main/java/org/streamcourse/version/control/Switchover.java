package org.streamcourse.version.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.streamcourse.version.control.ControlMessage.OrderKind;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * A planned change of primary.
 *
 * <p>Steps: the primary's gateways hold new writes until no transaction is open; the target is
 * fenced at the next term once it has received all records of the primary, and the other replicas
 * at once; when a majority that includes the target is fenced, one entry in the replicated log
 * opens the term and names the new primary.
 *
 * <p>Members may be fenced before the term is in the replicated log, since a fenced member only
 * refuses older terms, and no member is promoted without the entry. If two leaders fence at the
 * same term, the replicated log accepts one of their entries, and both have seen the same ends of
 * the fenced logs. If a leader is lost during the change, members are fenced at a term above the
 * image's; the next leader finds this in their reports and opens the term.
 */
final class Switchover {
  private final String target;
  private final long term;
  private final long startedAtMillis;
  private final MemberOrders orders;
  private final FencedMembers fenced;
  private final Set<String> heldGateways = new HashSet<>();
  private TermPosition heldAt = TermPosition.ZERO;
  private boolean fencing;
  private boolean proposed;

  Switchover(GroupImage image, String target, long startedAtMillis, MemberOrders orders) {
    this.target = target;
    this.term = image.term();
    this.startedAtMillis = startedAtMillis;
    this.orders = orders;
    this.fenced = new FencedMembers(image.term() + 1);
  }

  String target() {
    return target;
  }

  /** Returns the term of the primary that is to be replaced. */
  long term() {
    return term;
  }

  /** Returns the term that is to be opened. */
  long nextTerm() {
    return fenced.term();
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  /**
   * Returns whether members may be fenced already, so that releasing the writes does not undo the
   * change.
   */
  boolean isFencing() {
    return fencing;
  }

  /** Returns the members fenced so far, as input of a decision. */
  FencedMembers fenced() {
    return fenced;
  }

  /** Sends the orders of the present step. */
  void advance(GroupImage image) {
    MemberImage primary = image.primaryMember().orElseThrow();
    if (!heldGateways.containsAll(primary.gateways())) {
      orders.toEachGateway(primary, OrderKind.HOLD_WRITES, term);
      return;
    }
    fencing = true;
    for (MemberImage member : image.members()) {
      boolean isTarget = member.name().equals(target);
      boolean isPrimary = member.name().equals(primary.name());
      // The primary is fenced after the target, which receives the primary's records until then.
      boolean mayBeFenced = !isPrimary || fenced.contains(target);
      if (mayBeFenced && !fenced.contains(member.name())) {
        TermPosition awaited = isTarget ? heldAt : TermPosition.ZERO;
        orders.toOneGateway(member, OrderKind.FENCE, nextTerm(), "", awaited);
      }
    }
  }

  /**
   * Called when a gateway of the primary has no open transaction; the position is the end of the
   * primary's log.
   */
  void onWritesHeld(String gateway, TermPosition position) {
    heldGateways.add(gateway);
    heldAt = heldAt.max(position);
  }

  /**
   * Called when a member is fenced at the next term.
   *
   * @return the new primary, once, when the fenced members are a majority that includes the target
   */
  Optional<String> onFenced(GroupImage image, String member, TermPosition end, long now) {
    fenced.add(image, member, end, now);
    if (proposed || !fenced.isMajority(image) || !fenced.contains(target)) {
      return Optional.empty();
    }
    proposed = true;
    return Optional.of(fenced.best(image, target));
  }
}
