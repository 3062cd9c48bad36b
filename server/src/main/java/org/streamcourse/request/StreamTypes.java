package org.streamcourse.request;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.peer.LinkMessage;
import org.streamcourse.connection.relay.RelayTypes;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.request.quota.QuotaTypes;
import org.streamcourse.version.control.ControlTypes;

/** Lists the types of all messages between the processes of the fleet. */
public final class StreamTypes {
  private static final List<Class<?>> OWN =
      List.of(
          LinkMessage.LinkHello.class,
          StreamMessage.Purpose.class,
          StreamMessage.Refusal.class,
          StreamMessage.Unit.class,
          StreamMessage.OpenStream.class,
          StreamMessage.NextUnit.class,
          StreamMessage.Credit.class,
          StreamMessage.CloseStream.class,
          StreamMessage.CancelUnit.class,
          StreamMessage.KeepStreams.class,
          StreamMessage.Output.class,
          StreamMessage.UnitDone.class,
          StreamMessage.Refused.class,
          StreamMessage.Broken.class,
          StreamMessage.PositionRequest.class,
          StreamMessage.PositionReply.class,
          StreamMessage.AwaitReceived.class,
          StreamMessage.ReceivedReport.class);

  private StreamTypes() {}

  /**
   * Creates the codec for all types that are sent between processes or stored on disk.
   *
   * @return codec
   */
  public static MessageCodec codec() {
    List<Class<?>> types = new ArrayList<>(ControlTypes.all());
    types.addAll(OWN);
    types.addAll(RelayTypes.ALL);
    types.addAll(QuotaTypes.ALL);
    types.addAll(ControlTypes.ADDED);
    return new MessageCodec(types);
  }
}
