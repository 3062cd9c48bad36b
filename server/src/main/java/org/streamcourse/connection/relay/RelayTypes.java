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

/** Lists the types that nodes exchange when one holds connections for others. */
public final class RelayTypes {
  /** Types in the order that numbers them. */
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
