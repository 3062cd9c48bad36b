package org.streamcourse.lab.simulation;

import java.util.List;
import java.util.function.Supplier;
import org.streamcourse.connection.backend.MemberConnector;
import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Opens connections from a simulated gateway to simulated members. */
final class SimMemberConnector implements MemberConnector {
  private static final long CONNECT_MILLIS = 12;
  private static final long TIMEOUT_MILLIS = 2_000;

  private final World world;
  private final Supplier<SimHost> gateway;
  private final List<SimMemberSession> opened;

  SimMemberConnector(World world, Supplier<SimHost> gateway, List<SimMemberSession> opened) {
    this.world = world;
    this.gateway = gateway;
    this.opened = opened;
  }

  @Override
  public Mono<MemberSession> connect(GroupImage group, MemberImage member) {
    return Mono.create(sink -> new Attempt(world.members().get(member.name()), sink).start());
  }

  /** One attempt to connect, which ends with a session, a refusal or a timeout. */
  private final class Attempt {
    private final SimMember member;
    private final MonoSink<MemberSession> sink;
    private final SimHost host = gateway.get();
    private final int gatewayIncarnation = host.incarnation();
    private boolean ended;

    /** Whether the gateway has closed the connection being opened; known at the member only. */
    private boolean closedByGateway;

    Attempt(SimMember member, MonoSink<MemberSession> sink) {
      this.member = member;
      this.sink = sink;
    }

    void start() {
      host.worker().schedule(TIMEOUT_MILLIS, this::timeOut);
      if (!member.host().isUp()) {
        deliver(member.host().name(), host.name(), () -> fail("refused"));
        return;
      }
      int memberIncarnation = member.host().incarnation();
      deliver(
          host.name(),
          member.host().name(),
          () -> member.host().execute(memberIncarnation, this::accept));
    }

    private void accept() {
      member.worker().schedule(CONNECT_MILLIS, this::accepted);
    }

    /** Closes the connection being opened, as a TCP client does, so that the member drops it. */
    private void timeOut() {
      if (!ended) {
        deliver(host.name(), member.host().name(), () -> closedByGateway = true);
        fail("timeout");
      }
    }

    private void accepted() {
      if (closedByGateway) {
        return;
      }
      SimMemberSession session = new SimMemberSession(member, host);
      member.opened(session);
      opened.add(session);
      deliver(
          member.host().name(),
          host.name(),
          () -> host.execute(gatewayIncarnation, () -> succeed(session)));
    }

    private void succeed(SimMemberSession session) {
      if (ended) {
        session.close();
      } else {
        ended = true;
        sink.success(session);
      }
    }

    private void fail(String why) {
      if (!ended) {
        ended = true;
        sink.error(
            new StreamcourseException(
                ErrorCode.NO_MEMBER_AVAILABLE, "connect-member", member.id(), why));
      }
    }

    private void deliver(String from, String to, Runnable task) {
      world.network().deliver(from, to, task);
    }
  }
}
