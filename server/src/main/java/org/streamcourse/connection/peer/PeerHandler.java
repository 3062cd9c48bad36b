package org.streamcourse.connection.peer;

import java.util.List;

/**
 * Receives messages from peers and reports of lost links. Its methods must not block, since they
 * may be called while a link is locked.
 */
public interface PeerHandler {
  /**
   * Handles a message.
   *
   * @param peer name of the sender
   * @param message received message
   */
  void receive(String peer, Object message);

  /**
   * Called when a link to or from a peer has been lost. Messages sent to the peer before may or may
   * not have arrived, except those reported to {@link #undelivered}, which never arrive.
   *
   * @param peer name of the peer
   */
  void linkLost(String peer);

  /**
   * Called when no link to a peer could be opened and the messages queued for it are dropped. They
   * were not written to any link, so they never arrive. The call implies nothing about other
   * messages: calls come on several threads, and a message sent earlier or concurrently may have
   * been written to another link.
   *
   * @param peer name of the peer
   * @param messages dropped messages, in the order in which they were sent
   */
  default void undelivered(String peer, List<Object> messages) {}
}
