package org.streamcourse.connection.peer;

import org.streamcourse.version.image.Placement;

/** Messages that set up a peer link. */
public sealed interface LinkMessage {
  /** Version of the messages between processes; a link between different versions is refused. */
  int PROTOCOL_VERSION = 6;

  /**
   * First message on a peer link.
   *
   * @param protocolVersion version of the messages
   * @param name name of the process that opened the link
   * @param proof keyed hash of the name, which shows that the sender has the fleet's key
   * @param placement region and zone of the sender, or null when it is not known
   */
  record LinkHello(int protocolVersion, String name, byte[] proof, Placement placement)
      implements LinkMessage {}
}
