package org.streamcourse.connection.session;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import reactor.netty.resources.LoopResources;

/** Event loops that bind the next server to a listening socket that is open already. */
final class PreboundLoopResources implements LoopResources {
  private final LoopResources loops;
  private final PreboundPort port;

  PreboundLoopResources(LoopResources loops, PreboundPort port) {
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

  /** A server channel whose socket is bound before the server starts. */
  private static final class BoundChannel extends NioServerSocketChannel {
    BoundChannel(java.nio.channels.ServerSocketChannel channel) {
      super(channel);
    }

    @Override
    protected void doBind(SocketAddress address) {
      // PreboundPort has bound the socket already; SessionPort has compared the address.
    }
  }
}
