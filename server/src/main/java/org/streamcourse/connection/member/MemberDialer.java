package org.streamcourse.connection.member;

/** Opens connections to members. */
public interface MemberDialer {
  /**
   * Opens a connection.
   *
   * @param host IP address
   * @param port TCP port
   * @param listener is notified of events on the connection, on the proxy's worker
   */
  void dial(String host, int port, MemberChannel.Listener listener);
}
