package org.streamcourse.connection.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * The callers' port of a process that is still loading: the kernel accepts connections at it and
 * keeps what they send until a {@link SessionPort} takes the port over.
 *
 * <p>A start takes 0.3 to 0.4 s of processor time, on a third of a core about a second. Opened as
 * the first step, the port stands after a quarter of that. Without it, callers that return after a
 * loss of power are refused by the machine at once, as often as they try, and use up their tries
 * before anything listens.
 *
 * <p>Uses nothing but the JDK, so that little is loaded before the port stands.
 */
public final class EarlyPort {
  /**
   * Connections that may wait to be accepted. The kernel drops the opening packets of further ones,
   * which callers' machines send again after a second and more.
   */
  static final int BACKLOG = 1_024;

  private final ServerSocketChannel channel;
  private final InetSocketAddress address;

  private EarlyPort(ServerSocketChannel channel, InetSocketAddress address) {
    this.channel = channel;
    this.address = address;
  }

  /**
   * Opens a port.
   *
   * @param host IP number
   * @param port TCP port
   * @return open port
   * @throws StreamcourseException when the address can't be used
   */
  public static EarlyPort open(String host, int port) {
    InetSocketAddress address = new InetSocketAddress(host, port);
    try {
      ServerSocketChannel channel = ServerSocketChannel.open();
      channel.bind(address, BACKLOG);
      return new EarlyPort(channel, address);
    } catch (IOException e) {
      throw new StreamcourseException(
          ErrorCode.INTERNAL, "open-port", address.toString(), e.getMessage(), 0, e);
    }
  }

  /**
   * Tells whether this is the port at an address.
   *
   * @param host IP number
   * @param port TCP port
   * @return true when it is open there
   */
  boolean isAt(String host, int port) {
    return address.equals(new InetSocketAddress(host, port));
  }

  ServerSocketChannel channel() {
    return channel;
  }

  /** Closes the port; connections that nobody has taken over are reset. */
  void close() {
    try {
      channel.close();
    } catch (IOException e) {
      throw new StreamcourseException(
          ErrorCode.INTERNAL, "close-port", address.toString(), e.getMessage(), 0, e);
    }
  }
}
