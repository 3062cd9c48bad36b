package org.streamcourse.connection.member;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;
import org.streamcourse.process.FatalErrors;
import org.streamcourse.request.statement.Answer;

/** Opens TCP connections to members on the event loop of the proxy's worker. */
public final class TcpMemberDialer implements MemberDialer {
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  /** Idle time of a connection after which its other end is probed. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 3;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 3;

  private final EventLoopGroup loop;
  private final MemberProtocol protocol;

  /**
   * Creates a dialer.
   *
   * @param loop single-threaded event loop on which the proxy's worker also runs
   * @param protocol protocol of the members
   */
  public TcpMemberDialer(EventLoopGroup loop, MemberProtocol protocol) {
    this.loop = loop;
    this.protocol = protocol;
  }

  @Override
  public void dial(String host, int port, MemberChannel.Listener listener) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                protocol.handlers().forEach(channel.pipeline()::addLast);
                channel.pipeline().addLast(new Receiver(listener));
              }
            })
        .connect(new InetSocketAddress(host, port))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                listener.closed(future.cause().toString());
              }
            });
  }

  /** Delivers events and answers of the connection to the listener. */
  private static final class Receiver extends SimpleChannelInboundHandler<Answer> {
    private final MemberChannel.Listener listener;
    private String cause = "the member closed the connection";

    Receiver(MemberChannel.Listener listener) {
      this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      listener.connected(new TcpMemberChannel(context.channel()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Answer answer) {
      listener.answered(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      listener.closed(cause);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable thrown) {
      FatalErrors.check(thrown);
      cause = thrown.toString();
      context.close();
    }
  }

  /** Adapts a Netty channel to {@link MemberChannel}. */
  private record TcpMemberChannel(Channel channel) implements MemberChannel {
    @Override
    public void send(MemberCommand command) {
      channel.write(command, channel.voidPromise());
    }

    @Override
    public void flush() {
      channel.flush();
    }

    @Override
    public void close() {
      channel.close();
    }
  }
}
