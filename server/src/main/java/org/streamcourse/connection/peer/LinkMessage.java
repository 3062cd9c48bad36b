package org.streamcourse.connection.peer;

import org.streamcourse.version.image.Place;

/** Messages of the links themselves. */
public sealed interface LinkMessage {
  /** Version of the messages between processes; a link between different ones is refused. */
  int PROTOCOL_VERSION = 6;

  /**
   * First message on a link.
   *
   * @param protocolVersion version of the messages
   * @param name name of the process that opened the link
   * @param proof keyed hash of the name, which shows that the sender has the fleet's key
   * @param place where the sender stands, or null when it was not told
   */
  record LinkHello(int protocolVersion, String name, byte[] proof, Place place)
      implements LinkMessage {}
}
