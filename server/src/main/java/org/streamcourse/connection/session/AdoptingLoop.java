package org.streamcourse.connection.session;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import reactor.netty.resources.LoopResources;

/** Event loops on which the next server takes over a port that is open already. */
final class AdoptingLoop implements LoopResources {
  private final LoopResources loops;
  private final EarlyPort port;

  AdoptingLoop(LoopResources loops, EarlyPort port) {
    this.loops = loops;
    this.port = port;
  }

  @Override
  public EventLoopGroup onServer(boolean useNative) {
    return loops.onServer(useNative);
  }

  @Override
  public <C extends Channel> C onChannel(Class<C> type, EventLoopGroup group) {
    return type == ServerSocketChannel.class
        ? type.cast(new BoundChannel(port.channel()))
        : loops.onChannel(type, group);
  }

  /** A server's channel that is bound before its server is started. */
  private static final class BoundChannel extends NioServerSocketChannel {
    BoundChannel(java.nio.channels.ServerSocketChannel channel) {
      super(channel);
    }

    @Override
    protected void doBind(SocketAddress address) {
      // Bound when it was opened; the caller of EarlyPort has compared the address.
    }
  }
}
