package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.streamcourse.version.control.PromotionAgent;
import org.streamcourse.version.control.ServiceAgents;

/** Replication between the members of the simulated service, and its external promotion agent. */
final class SimServiceGroup {
  private static final long AGENT_MILLIS = 3;

  /** Time until a resumed replica has received the missing log entries; one round trip. */
  private static final long STREAM_MILLIS = 60;

  private static final long PROMOTE_MILLIS = 600;
  private static final long ORDER_DELAY_MILLIS = 3_000;
  private static final double DELAYED_ORDER_SHARE = 0.5;

  /** A reply that waits until a replica has received the log up to a length. */
  private record PendingReply(
      SimServiceMember from, int incarnation, int length, Runnable task, Runnable onDemotion) {}

  private final ServiceWorld world;
  private final List<PendingReply> pendingReplies = new ArrayList<>();
  private final Set<Long> fences = new HashSet<>();
  private long highestFence;
  private boolean delaysOrders;
  private boolean delaysRequests;

  SimServiceGroup(ServiceWorld world) {
    this.world = world;
  }

  void setDelaysOrders(boolean value) {
    delaysOrders = value;
  }

  /** Lets members carry out requests of controllers late and without an answer. */
  void setDelaysRequests(boolean value) {
    delaysRequests = value;
  }

  boolean delaysRequests() {
    return delaysRequests;
  }

  ServiceAgents agentsOf(SimHost host) {
    return new ServiceAgents(new SimAgent(host), new SimMemberProbe(world, host));
  }

  /** Executes the promotion orders of one controller. */
  private final class SimAgent implements PromotionAgent {
    private final SimHost host;
    private final int incarnation;

    SimAgent(SimHost host) {
      this.host = host;
      this.incarnation = host.incarnation();
    }

    @Override
    public void order(Order order, Consumer<Outcome> outcome) {
      world.checks().order(order.fence(), fences);
      world.checks().event("order " + order + " of " + host.name());
      if (delaysOrders && world.random().nextDouble() < DELAYED_ORDER_SHARE) {
        world.faults().count("order-late");
        world.after(ORDER_DELAY_MILLIS, () -> executeOrder(order));
        world.after(
            1_000, () -> host.execute(incarnation, () -> outcome.accept(Outcome.UNANSWERED)));
        return;
      }
      world.after(
          AGENT_MILLIS,
          () -> {
            Outcome result = executeOrder(order);
            world.after(
                AGENT_MILLIS, () -> host.execute(incarnation, () -> outcome.accept(result)));
          });
    }
  }

  private PromotionAgent.Outcome executeOrder(PromotionAgent.Order order) {
    long fence = world.fenceOf(order);
    if (fence < highestFence) {
      return PromotionAgent.Outcome.REFUSED;
    }
    highestFence = fence;
    Optional<SimServiceMember> target =
        world.members().values().stream()
            .filter(each -> each.id().equals(order.target()) && each.host().isUp())
            .findFirst();
    if (target.isEmpty()) {
      return PromotionAgent.Outcome.REFUSED;
    }
    if (!target.get().isPrimary()) {
      world.after(PROMOTE_MILLIS, () -> promote(target.get()));
    }
    return PromotionAgent.Outcome.ACCEPTED;
  }

  private void promote(SimServiceMember target) {
    if (!target.host().isUp() || target.isPrimary()) {
      return;
    }
    long term =
        world.members().values().stream().mapToLong(SimServiceMember::term).max().orElse(0) + 1;
    target.becomePrimary(term);
    world.checks().event("promoted " + target.host().name() + " in term " + term);
    world.checks().promoted(target.host().name(), target.received());
    world.members().values().stream()
        .filter(each -> each != target)
        .forEach(each -> demote(each, target));
  }

  /** Demotes a member after a promotion; it keeps its log until the new primary can reach it. */
  private void demote(SimServiceMember member, SimServiceMember leader) {
    world.checks().droppedByPromotion(member.notSharedWith(leader), world.isSynchronous());
    if (world.network().isCut(leader.host().name(), member.host().name())) {
      member.demote();
    } else {
      member.follow(leader);
      streamTo(member, leader);
    }
  }

  /**
   * Sends a resumed replica the missing log entries even when nothing is committed, since a real
   * replica requests the log from its primary continuously.
   */
  void streamTo(SimServiceMember member) {
    primary().filter(leader -> leader != member).ifPresent(leader -> streamTo(member, leader));
  }

  private void streamTo(SimServiceMember member, SimServiceMember leader) {
    int incarnation = member.host().incarnation();
    Runnable arrival = () -> member.receive(leader, leader.received().size());
    world.after(
        STREAM_MILLIS,
        () -> {
          boolean lacks = member.received().size() < leader.received().size();
          if (lacks && leader.isPrimary() && !isCut(leader, member)) {
            member.host().execute(incarnation, arrival);
          }
        });
  }

  private boolean isCut(SimServiceMember one, SimServiceMember other) {
    return world.network().isCut(one.host().name(), other.host().name());
  }

  void replicate(SimServiceMember from, int length) {
    for (SimServiceMember other : world.members().values()) {
      if (other != from && other.host().isUp()) {
        int incarnation = other.host().incarnation();
        world
            .network()
            .deliver(
                from.host().name(),
                other.host().name(),
                () -> other.host().execute(incarnation, () -> other.receive(from, length)));
      }
    }
  }

  /** Synchronizes the log of a member that has just started with the primary's log. */
  void synchronize(SimServiceMember member) {
    primary()
        .ifPresent(
            primary -> {
              member.follow(primary);
              member.receive(primary, primary.received().size());
            });
  }

  Optional<SimServiceMember> primary() {
    return world.members().values().stream()
        .filter(SimServiceMember::isPrimary)
        .max(java.util.Comparator.comparingLong(SimServiceMember::term));
  }

  /**
   * Runs a task once a replica has received a primary's log up to a length, or another one when the
   * member stops being primary before.
   */
  void whenReceived(SimServiceMember from, int length, Runnable task, Runnable onDemotion) {
    pendingReplies.add(new PendingReply(from, from.host().incarnation(), length, task, onDemotion));
  }

  /** Ends the replies that wait at a member which is no longer primary. */
  void demoted(SimServiceMember from) {
    for (PendingReply each : List.copyOf(pendingReplies)) {
      if (each.from() == from) {
        pendingReplies.remove(each);
        from.host().execute(each.incarnation(), each.onDemotion());
      }
    }
  }

  /** Acknowledges to a primary that a replica has received its log up to a length. */
  void received(SimServiceMember from, SimServiceMember replica, int length) {
    world
        .network()
        .deliver(replica.host().name(), from.host().name(), () -> acknowledge(from, length));
  }

  private void acknowledge(SimServiceMember from, int length) {
    for (PendingReply each : List.copyOf(pendingReplies)) {
      if (each.from() == from && each.length() <= length) {
        pendingReplies.remove(each);
        from.host().execute(each.incarnation(), each.task());
      }
    }
  }
}
