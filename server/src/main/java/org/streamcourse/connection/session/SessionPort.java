package org.streamcourse.connection.session;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.FatalErrors;
import org.streamcourse.request.statement.Answer;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/** TCP server on which callers open sessions. Its event loop must be the proxy's worker. */
public final class SessionPort {
  private static final Logger LOG = LoggerFactory.getLogger(SessionPort.class);

  /** Unsent answers to a caller beyond which its connection is closed. */
  private static final long MAX_UNSENT_BYTES = 8L * 1024 * 1024;

  private final SessionProtocol protocol;
  private final Function<ClientChannel, ClientSession> sessions;
  private DisposableServer server;

  /**
   * Creates a port that is not open.
   *
   * @param protocol protocol of the callers
   * @param sessions creates the session of a connection
   */
  public SessionPort(SessionProtocol protocol, Function<ClientChannel, ClientSession> sessions) {
    this.protocol = protocol;
    this.sessions = sessions;
  }

  /**
   * Opens the port.
   *
   * @param host IP address
   * @param port TCP port
   * @param loops event loop of one thread, on which the proxy's worker runs too
   * @param prebound listening socket that is bound already, if any; it is taken over with the
   *     connections in its queue, or closed when it is bound to another address
   */
  public void start(String host, int port, LoopResources loops, Optional<PreboundPort> prebound) {
    server =
        TcpServer.create()
            .host(host)
            .port(port)
            .runOn(prebound.map(open -> takeOver(open, host, port, loops)).orElse(loops), false)
            .option(ChannelOption.SO_BACKLOG, PreboundPort.BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .doOnConnection(this::accept)
            .bindNow();
  }

  private static LoopResources takeOver(
      PreboundPort prebound, String host, int port, LoopResources loops) {
    if (prebound.isBoundTo(host, port)) {
      return new PreboundLoopResources(loops, prebound);
    }
    LOG.warn("the prebound port is not the configured {}:{}; closes it", host, port);
    prebound.close();
    return loops;
  }

  /** Closes the port; open sessions continue. */
  public void stop() {
    if (server != null) {
      server.dispose();
    }
  }

  private void accept(Connection connection) {
    Channel channel = connection.channel();
    ClientSession session = sessions.apply(new TcpClientChannel(channel));
    protocol.handlers().forEach(connection::addHandlerLast);
    connection.addHandlerLast(new Receiver(session));
    channel.config().setAutoRead(true);
  }

  /** Passes a caller's messages to its session. */
  private static final class Receiver extends SimpleChannelInboundHandler<ClientMessage> {
    private final ClientSession session;

    Receiver(ClientSession session) {
      this.session = session;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ClientMessage message) {
      session.receive(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      session.disconnected();
      super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      LOG.debug(
          "connection of caller {} failed: {}; closes it",
          context.channel().remoteAddress(),
          cause.toString());
      context.close();
    }
  }

  /** A caller's connection as the session uses it. */
  private record TcpClientChannel(Channel channel) implements ClientChannel {
    @Override
    public void welcome() {
      channel.writeAndFlush(new ClientReply.Welcome(), channel.voidPromise());
    }

    @Override
    public void answer(Answer answer) {
      channel.writeAndFlush(new ClientReply.Answered(answer), channel.voidPromise());
      long unsent = channel.unsafe().outboundBuffer() == null ? 0 : pendingBytes();
      if (unsent > MAX_UNSENT_BYTES) {
        LOG.warn(
            "{} bytes of answers unsent to caller {}; closes its connection",
            unsent,
            channel.remoteAddress());
        channel.close();
      }
    }

    private long pendingBytes() {
      return channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }

    @Override
    public void refuse(Answer error) {
      channel
          .writeAndFlush(new ClientReply.Refused(error))
          .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void close() {
      // The empty buffer is queued behind earlier answers, so that they are sent before the close.
      channel
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }
}
