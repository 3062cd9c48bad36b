package org.streamcourse.connection.relay;

import java.util.List;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.StatementId;

/** Types of the messages between holders and the nodes that relay work to them. */
public final class RelayTypes {
  /** The types in the order of their numbers on the wire. */
  public static final List<Class<?>> ALL =
      List.of(
          StatementId.class,
          PreparedShape.class,
          SessionState.class,
          AnswerCode.class,
          Answer.class,
          MemberCommand.Run.class,
          MemberCommand.BeginTransaction.class,
          RelayMessage.Direct.class,
          RelayMessage.ExecuteShape.class,
          RelayMessage.Finish.class,
          RelayMessage.Open.class,
          RelayMessage.Continue.class,
          RelayMessage.Close.class,
          RelayMessage.Answered.class,
          RelayMessage.Refusal.class,
          RelayMessage.Refused.class,
          RelayMessage.Ended.class,
          RelayMessage.Ping.class,
          RelayMessage.Pong.class,
          ReadFloor.class,
          MemberObservation.class,
          RelayMessage.News.class,
          RelayMessage.Withdraw.class);

  private RelayTypes() {}
}
