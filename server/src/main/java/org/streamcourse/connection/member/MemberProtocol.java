package org.streamcourse.connection.member;

import io.netty.channel.ChannelHandler;
import java.util.List;
import java.util.Optional;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.TermPosition;

/** Wire protocol of members. */
public interface MemberProtocol {
  /**
   * Creates the handlers that encode {@link MemberCommand}s and decode {@link Answer}s.
   *
   * @return handlers of one connection, in the order of its pipeline
   */
  List<ChannelHandler> handlers();

  /**
   * Reads the answer to {@link MemberCommand.PauseReceiving} or {@link MemberCommand.ReportStatus}.
   *
   * @param answer the member's answer
   * @return end position of the member's log if the member is paused, else empty
   */
  Optional<TermPosition> pausedAt(Answer answer);
}
