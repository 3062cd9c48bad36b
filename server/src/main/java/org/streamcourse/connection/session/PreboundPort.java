package org.streamcourse.connection.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * The callers' listening socket, bound while the process is still loading: the kernel accepts
 * connections and buffers what callers send until a {@link SessionPort} takes the socket over.
 *
 * <p>A start takes 0.3 to 0.4 s of processor time, about a second on a third of a core. Bound as
 * the first step, the port is open after a quarter of that. Without it, the kernel refuses each
 * connection attempt at once, and callers that reconnect after a power failure use up their retries
 * before the process listens.
 *
 * <p>Uses only the JDK, so that few classes are loaded before the port is bound.
 */
public final class PreboundPort {
  /**
   * Length of the queue of connections to be accepted. The kernel drops the SYN packets of further
   * connections, and callers retransmit them only after a second or more.
   */
  static final int BACKLOG = 1_024;

  private final ServerSocketChannel channel;
  private final InetSocketAddress address;

  private PreboundPort(ServerSocketChannel channel, InetSocketAddress address) {
    this.channel = channel;
    this.address = address;
  }

  /**
   * Binds a listening socket.
   *
   * @param host IP address
   * @param port TCP port
   * @return bound port
   * @throws StreamcourseException when the address can't be bound
   */
  public static PreboundPort open(String host, int port) {
    InetSocketAddress address = new InetSocketAddress(host, port);
    try {
      ServerSocketChannel channel = ServerSocketChannel.open();
      channel.bind(address, BACKLOG);
      return new PreboundPort(channel, address);
    } catch (IOException e) {
      throw new StreamcourseException(
          ErrorCode.INTERNAL, "open-port", address.toString(), e.getMessage(), 0, e);
    }
  }

  /**
   * Returns whether this port is bound to an address.
   *
   * @param host IP address
   * @param port TCP port
   * @return true when the addresses are equal
   */
  boolean isBoundTo(String host, int port) {
    return address.equals(new InetSocketAddress(host, port));
  }

  ServerSocketChannel channel() {
    return channel;
  }

  /** Closes the port; connections that were not accepted are reset. */
  void close() {
    try {
      channel.close();
    } catch (IOException e) {
      throw new StreamcourseException(
          ErrorCode.INTERNAL, "close-port", address.toString(), e.getMessage(), 0, e);
    }
  }
}
