package org.streamcourse.connection.peer;

import java.util.Collection;

/**
 * Sends typed messages to other processes of the fleet. Messages to one peer arrive in order or not
 * at all. Messages in flight are lost with their link, which the sender notices only by missing
 * answers or by {@link PeerHandler#linkLost}. Messages that were never written to a link are passed
 * to {@link PeerHandler#undelivered}.
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
   * Sends one message to several peers.
   *
   * @param peers names of nodes or controllers
   * @param message instance of a registered type
   */
  default void sendToAll(Collection<String> peers, Object message) {
    peers.forEach(peer -> send(peer, message));
  }
}
