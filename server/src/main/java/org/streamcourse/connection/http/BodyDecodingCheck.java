package org.streamcourse.connection.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import org.streamcourse.connection.http.RequestBodies.Refusal;
import org.streamcourse.connection.http.RequestBodies.RefusedException;
import reactor.netty.ConnectionObserver;
import reactor.netty.NettyPipeline;

/**
 * Fails a body whose transfer coding is malformed. Reactor Netty refuses the request by itself, but
 * then completes the body with the parts before the error, as if they were the whole.
 */
public final class BodyDecodingCheck extends ChannelInboundHandlerAdapter {
  private BodyDecodingCheck() {}

  /**
   * Adds the check to a new connection of an HTTP server.
   *
   * @param observer observer of the connection; not used
   * @param channel the connection
   * @param remote address of the peer; not used
   */
  public static void install(ConnectionObserver observer, Channel channel, SocketAddress remote) {
    channel.pipeline().addAfter(NettyPipeline.HttpCodec, null, new BodyDecodingCheck());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpContent content && content.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      context.fireExceptionCaught(
          new RefusedException(Refusal.MALFORMED, "body: malformed transfer coding"));
    } else {
      context.fireChannelRead(message);
    }
  }
}
