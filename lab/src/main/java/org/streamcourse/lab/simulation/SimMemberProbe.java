package org.streamcourse.lab.simulation;

import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.version.control.MemberProbe;
import org.streamcourse.version.control.ReplicationStatus;
import org.streamcourse.version.image.RegisteredMember;

/**
 * Sends the requests of one controller to simulated members. Each request needs one of the member's
 * slots for its new connection, so it is not carried out while writes keep all of them.
 */
final class SimMemberProbe implements MemberProbe {
  private static final long ANSWER_TIMEOUT_MILLIS = 800;
  private static final long CONNECT_MILLIS = 12;
  private static final double LATE_SHARE = 0.5;
  private static final long MIN_LATE_MILLIS = 2_000;
  private static final long MAX_LATE_MILLIS = 12_000;

  private final ServiceWorld world;
  private final SimHost host;
  private final int incarnation;

  SimMemberProbe(ServiceWorld world, SimHost host) {
    this.world = world;
    this.host = host;
    this.incarnation = host.incarnation();
  }

  @Override
  public void pause(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer) {
    request(member, target -> target.pause(term), answer);
  }

  @Override
  public void stepDown(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer) {
    request(member, target -> target.stepDown(term), answer);
  }

  @Override
  public void resume(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
    request(member, SimServiceMember::resume, answer);
  }

  @Override
  public void status(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
    request(member, target -> {}, answer);
  }

  private void request(
      RegisteredMember member,
      Consumer<SimServiceMember> task,
      Consumer<Optional<ReplicationStatus>> answer) {
    boolean[] ended = new boolean[1];
    Consumer<Optional<ReplicationStatus>> once =
        status -> {
          if (!ended[0]) {
            ended[0] = true;
            answer.accept(status);
          }
        };
    SimServiceMember target = world.members().get(member.host());
    runAt(target, ended, () -> carryOut(target, task, once));
    world.after(
        ANSWER_TIMEOUT_MILLIS,
        () -> host.execute(incarnation, () -> once.accept(Optional.empty())));
  }

  /** Connects to the member and sends a request, unless the connection was given up before. */
  private void runAt(SimServiceMember target, boolean[] ended, Runnable request) {
    world
        .network()
        .deliver(
            host.name(),
            target.host().name(),
            () ->
                target
                    .host()
                    .execute(
                        target.host().incarnation(),
                        () ->
                            target.run(
                                CONNECT_MILLIS,
                                () -> {
                                  if (!ended[0]) {
                                    request.run();
                                  }
                                })));
  }

  private void carryOut(
      SimServiceMember target,
      Consumer<SimServiceMember> task,
      Consumer<Optional<ReplicationStatus>> answer) {
    if (world.group().delaysRequests() && world.random().nextDouble() < LATE_SHARE) {
      world.faults().count("request-late");
      long late = MIN_LATE_MILLIS + world.random().nextLong(MAX_LATE_MILLIS - MIN_LATE_MILLIS);
      int memberIncarnation = target.host().incarnation();
      world.after(late, () -> target.host().execute(memberIncarnation, () -> task.accept(target)));
      return;
    }
    task.accept(target);
    ReplicationStatus status = target.replicationStatus();
    world
        .network()
        .deliver(
            target.host().name(),
            host.name(),
            () -> host.execute(incarnation, () -> answer.accept(Optional.of(status))));
  }
}
