package org.streamcourse.connection.member;

import io.netty.channel.ChannelHandler;
import java.util.List;
import java.util.Optional;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.control.ReplicationStatus;

/** Wire protocol of members. */
public interface MemberProtocol {
  /**
   * Creates the handlers that encode {@link MemberCommand}s and decode {@link Answer}s.
   *
   * @return handlers of one connection, in the order of its pipeline
   */
  List<ChannelHandler> handlers();

  /**
   * Reads the status in an answer to {@link MemberCommand.PauseReceiving}, {@link
   * MemberCommand.ResumeReceiving}, {@link MemberCommand.StepDown} or {@link
   * MemberCommand.ReportStatus}.
   *
   * @param answer the member's answer
   * @return the member's status; empty when the answer contains none
   */
  Optional<ReplicationStatus> statusOf(Answer answer);
}
