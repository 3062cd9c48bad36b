package org.streamcourse.connection.peer;

/** Messages of the links themselves. */
public sealed interface LinkMessage {
  /** Version of the messages between processes; a link between different ones is refused. */
  int PROTOCOL_VERSION = 4;

  /**
   * First message on a link.
   *
   * @param protocolVersion version of the messages
   * @param name name of the process that opened the link
   * @param proof keyed hash of the name, which shows that the sender has the fleet's key
   */
  record LinkHello(int protocolVersion, String name, byte[] proof) implements LinkMessage {}
}
