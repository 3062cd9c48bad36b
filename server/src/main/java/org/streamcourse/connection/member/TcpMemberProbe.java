package org.streamcourse.connection.member;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.control.MemberProbe;
import org.streamcourse.version.control.ReplicationStatus;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;

/**
 * Sends administrative commands to members, each over a connection of its own. A command without an
 * answer within {@link #ANSWER_TIMEOUT_MILLIS} ends without a status.
 */
public final class TcpMemberProbe implements MemberProbe {
  private static final long ANSWER_TIMEOUT_MILLIS = 800;

  private final Worker worker;
  private final MemberDialer dialer;
  private final MemberProtocol protocol;

  /**
   * Creates a probe.
   *
   * @param worker worker on the dialer's event loop
   * @param dialer opens connections
   * @param protocol protocol of the members
   */
  public TcpMemberProbe(Worker worker, MemberDialer dialer, MemberProtocol protocol) {
    this.worker = worker;
    this.dialer = dialer;
    this.protocol = protocol;
  }

  @Override
  public void pause(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer) {
    exchange(service, member, new MemberCommand.PauseReceiving(term), answer);
  }

  @Override
  public void stepDown(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer) {
    exchange(service, member, new MemberCommand.StepDown(term), answer);
  }

  @Override
  public void resume(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
    exchange(service, member, new MemberCommand.ResumeReceiving(), answer);
  }

  @Override
  public void status(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
    exchange(service, member, new MemberCommand.ReportStatus(), answer);
  }

  private void exchange(
      String service,
      RegisteredMember member,
      MemberCommand command,
      Consumer<Optional<ReplicationStatus>> answer) {
    worker.execute(() -> new Exchange(service, member, command, answer).start());
  }

  /** One command on one connection. */
  private final class Exchange implements MemberLink.Owner, CommandListener {
    private final RegisteredMember member;
    private final MemberCommand command;
    private final Consumer<Optional<ReplicationStatus>> answer;
    private final MemberLink link;
    private boolean statusRequested;
    private boolean done;

    Exchange(
        String service,
        RegisteredMember member,
        MemberCommand command,
        Consumer<Optional<ReplicationStatus>> answer) {
      this.member = member;
      this.command = command;
      this.answer = answer;
      this.link =
          new MemberLink(
              worker, service, member.id(), TenantId.NONE, new MemberSlots(worker, () -> {}), this);
    }

    void start() {
      dialer.dial(member.host(), member.port(), link);
      worker.schedule(ANSWER_TIMEOUT_MILLIS, () -> finish(Optional.empty()));
    }

    private void finish(Optional<ReplicationStatus> status) {
      if (!done) {
        done = true;
        answer.accept(status);
        link.close();
      }
    }

    @Override
    public void opened(MemberLink opened) {
      opened.applyValues(Map.of());
      opened.run(command, this);
    }

    @Override
    public void responded(MemberLink responding) {
      // answered() handles the response.
    }

    @Override
    public void ended(MemberLink ended, Answer refusal, String cause) {
      finish(Optional.empty());
    }

    @Override
    public void answered(Answer reply) {
      Optional<ReplicationStatus> status = protocol.statusOf(reply);
      if (status.isPresent() || statusRequested) {
        finish(status);
        return;
      }
      statusRequested = true;
      link.run(new MemberCommand.ReportStatus(), this);
    }

    @Override
    public void lost(String cause) {
      finish(Optional.empty());
    }
  }
}
