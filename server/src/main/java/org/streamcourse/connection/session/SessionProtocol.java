package org.streamcourse.connection.session;

import io.netty.channel.ChannelHandler;
import java.util.List;

/** The wire protocol between callers and sessions. */
public interface SessionProtocol {
  /**
   * Creates the handlers that turn bytes into {@link ClientMessage}s and {@link ClientReply}s into
   * bytes.
   *
   * @return handlers of one connection, in the order of its pipeline
   */
  List<ChannelHandler> handlers();
}
