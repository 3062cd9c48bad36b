package org.streamcourse.connection.peer;

import java.util.List;

/** Hears what peers send; must return at once, and may be called while a link is locked. */
public interface PeerHandler {
  /**
   * Handles a message.
   *
   * @param peer name of the sender
   * @param message what arrived
   */
  void receive(String peer, Object message);

  /**
   * A link to or from a peer broke. What was sent to the peer before may or may not have arrived,
   * except what {@link #undelivered} names.
   *
   * @param peer name of the peer
   */
  void linkLost(String peer);

  /**
   * No link to a peer came about, and the messages that waited for one are dropped. They were
   * written to no link, so they never arrive. Of any other message this tells nothing: calls come
   * on several threads, and one sent earlier or meanwhile may be on a link of its own.
   *
   * @param peer name of the peer
   * @param messages what was dropped, in the order in which it was sent
   */
  default void undelivered(String peer, List<Object> messages) {}
}
