package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.streamcourse.version.control.MemberProbe;
import org.streamcourse.version.control.PromotionAgent;
import org.streamcourse.version.control.ServiceAgents;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TermPosition;

/** The members of the simulated service as one: replication, and the agent that promotes. */
final class SimServiceGroup {
  private static final long AGENT_MILLIS = 3;

  /** Time until a replica that may receive again has what it lacks; a way there and back. */
  private static final long STREAM_MILLIS = 60;

  private static final long PROMOTE_MILLIS = 600;
  private static final long LATE_ORDER_MILLIS = 3_000;
  private static final long PROBE_MILLIS = 800;
  private static final double LATE_ORDER_SHARE = 0.5;

  /** An answer that waits until a replica has the log. */
  private record Receipt(SimServiceMember from, int run, int length, Runnable task) {}

  private final ServiceWorld world;
  private final List<Receipt> receipts = new ArrayList<>();
  private final Set<Long> fences = new HashSet<>();
  private long highestFence;
  private boolean lateOrders;

  SimServiceGroup(ServiceWorld world) {
    this.world = world;
  }

  void setLateOrders(boolean value) {
    lateOrders = value;
  }

  ServiceAgents agentsOf(SimHost host) {
    return new ServiceAgents(new SimAgent(host), new SimProbe(host));
  }

  /** Pauses members for one controller. */
  private final class SimProbe implements MemberProbe {
    private final SimHost host;
    private final int run;

    SimProbe(SimHost host) {
      this.host = host;
      this.run = host.run();
    }

    @Override
    public void pause(
        String service,
        RegisteredMember member,
        long term,
        Consumer<Optional<TermPosition>> received) {
      boolean[] answered = new boolean[1];
      ask(
          member,
          found -> {
            Optional<TermPosition> end =
                found.isPrimary() ? Optional.empty() : Optional.of(found.pause());
            world
                .network()
                .deliver(
                    found.host().name(),
                    host.name(),
                    () -> host.execute(run, () -> answer(answered, received, end)));
          });
      world.after(
          PROBE_MILLIS,
          () -> host.execute(run, () -> answer(answered, received, Optional.empty())));
    }

    private void answer(
        boolean[] answered, Consumer<Optional<TermPosition>> received, Optional<TermPosition> end) {
      if (!answered[0]) {
        answered[0] = true;
        received.accept(end);
      }
    }

    @Override
    public void stepDown(String service, RegisteredMember member, long term, Runnable done) {
      boolean[] answered = new boolean[1];
      Runnable once =
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              done.run();
            }
          };
      ask(
          member,
          found -> {
            found.loseLead();
            world
                .network()
                .deliver(found.host().name(), host.name(), () -> host.execute(run, once));
          });
      world.after(PROBE_MILLIS, () -> host.execute(run, once));
    }

    @Override
    public void resume(String service, RegisteredMember member) {
      ask(member, SimServiceMember::resume);
    }

    private void ask(RegisteredMember member, Consumer<SimServiceMember> question) {
      SimServiceMember found = world.members().get(member.host());
      world
          .network()
          .deliver(
              host.name(),
              member.host(),
              () -> found.host().execute(found.host().run(), () -> question.accept(found)));
    }
  }

  /** Takes orders of one controller. */
  private final class SimAgent implements PromotionAgent {
    private final SimHost host;
    private final int run;

    SimAgent(SimHost host) {
      this.host = host;
      this.run = host.run();
    }

    @Override
    public void order(Order order, Consumer<Outcome> outcome) {
      world.checks().order(order.fence(), fences);
      world.checks().event("order " + order + " of " + host.name());
      if (lateOrders && world.random().nextDouble() < LATE_ORDER_SHARE) {
        world.faults().count("order-late");
        world.after(LATE_ORDER_MILLIS, () -> carryOut(order));
        world.after(1_000, () -> host.execute(run, () -> outcome.accept(Outcome.UNANSWERED)));
        return;
      }
      world.after(
          AGENT_MILLIS,
          () -> {
            Outcome result = carryOut(order);
            world.after(AGENT_MILLIS, () -> host.execute(run, () -> outcome.accept(result)));
          });
    }
  }

  private PromotionAgent.Outcome carryOut(PromotionAgent.Order order) {
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
    target.lead(term);
    world.checks().event("promoted " + target.host().name() + " in term " + term);
    world.checks().promoted(target.host().name(), target.received());
    world.members().values().stream()
        .filter(each -> each != target)
        .forEach(each -> replaced(each, target));
  }

  /** A member that the new primary can't reach keeps its log until it hears from it. */
  private void replaced(SimServiceMember member, SimServiceMember leader) {
    world.checks().droppedByPromotion(member.notSharedWith(leader), world.isSynchronous());
    if (world.network().isCut(leader.host().name(), member.host().name())) {
      member.loseLead();
    } else {
      member.follow(leader);
      streamTo(member, leader);
    }
  }

  /**
   * A replica that may receive again gets what it lacks, also while nothing is committed: a real
   * one keeps asking its primary for the log.
   */
  void streamTo(SimServiceMember member) {
    primary().filter(leader -> leader != member).ifPresent(leader -> streamTo(member, leader));
  }

  private void streamTo(SimServiceMember member, SimServiceMember leader) {
    int run = member.host().run();
    Runnable arrival = () -> member.receive(leader, leader.received().size());
    world.after(
        STREAM_MILLIS,
        () -> {
          boolean lacks = member.received().size() < leader.received().size();
          if (lacks && leader.isPrimary() && !isCut(leader, member)) {
            member.host().execute(run, arrival);
          }
        });
  }

  private boolean isCut(SimServiceMember one, SimServiceMember other) {
    return world.network().isCut(one.host().name(), other.host().name());
  }

  void replicate(SimServiceMember from, int length) {
    for (SimServiceMember other : world.members().values()) {
      if (other != from && other.host().isUp()) {
        int run = other.host().run();
        world
            .network()
            .deliver(
                from.host().name(),
                other.host().name(),
                () -> other.host().execute(run, () -> other.receive(from, length)));
      }
    }
  }

  /** Brings a member that has just started to the primary's log. */
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

  /** Runs a task once a replica has received a primary's log up to a length. */
  void whenReceived(SimServiceMember from, int length, Runnable task) {
    receipts.add(new Receipt(from, from.host().run(), length, task));
  }

  /** A replica has received a primary's log up to a length; the receipt travels back. */
  void received(SimServiceMember from, SimServiceMember replica, int length) {
    world.network().deliver(replica.host().name(), from.host().name(), () -> receipt(from, length));
  }

  private void receipt(SimServiceMember from, int length) {
    for (Receipt each : List.copyOf(receipts)) {
      if (each.from() == from && each.length() <= length) {
        receipts.remove(each);
        from.host().execute(each.run(), each.task());
      }
    }
  }
}
