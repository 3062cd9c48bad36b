package org.streamcourse.connection.peer;

import java.util.Collection;

/**
 * Sends typed messages to other processes of the fleet. Messages to one peer arrive in order or not
 * at all; a lost link loses those in flight, and the sender learns of it only through missing
 * answers or {@link PeerHandler#linkLost}. What was never written to a link is told message by
 * message ({@link PeerHandler#undelivered}).
 */
public interface PeerNetwork {
  /**
   * Sends a message.
   *
   * @param peer name of the node or controller
   * @param message instance of a registered type
   */
  void send(String peer, Object message);

  /**
   * Sends one message to many.
   *
   * @param peers names of nodes or controllers
   * @param message instance of a registered type
   */
  default void sendToAll(Collection<String> peers, Object message) {
    peers.forEach(peer -> send(peer, message));
  }
}
