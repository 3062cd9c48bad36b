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
import org.streamcourse.request.statement.Answer;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/** A TCP port at which callers open sessions. Its event loop must be the proxy's worker. */
public final class SessionPort {
  private static final Logger LOG = LoggerFactory.getLogger(SessionPort.class);

  /** Answers that a caller has not read, beyond which its connection is closed. */
  private static final long MAX_UNREAD_BYTES = 8L * 1024 * 1024;

  private final SessionProtocol protocol;
  private final Function<ClientChannel, ClientSession> sessions;
  private DisposableServer server;

  /**
   * Creates a port that is not open yet.
   *
   * @param protocol protocol of the callers
   * @param sessions makes the session of a connection
   */
  public SessionPort(SessionProtocol protocol, Function<ClientChannel, ClientSession> sessions) {
    this.protocol = protocol;
    this.sessions = sessions;
  }

  /**
   * Opens the port.
   *
   * @param host IP number
   * @param port TCP port
   * @param loops event loop of one thread, on which the proxy's worker runs too
   * @param early the port where it is open already; it is taken over with the connections that wait
   *     at it, or closed when it is at another address
   */
  public void start(String host, int port, LoopResources loops, Optional<EarlyPort> early) {
    server =
        TcpServer.create()
            .host(host)
            .port(port)
            .runOn(early.map(open -> adopt(open, host, port, loops)).orElse(loops), false)
            .option(ChannelOption.SO_BACKLOG, EarlyPort.BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .doOnConnection(this::accept)
            .bindNow();
  }

  private static LoopResources adopt(EarlyPort early, String host, int port, LoopResources loops) {
    if (early.isAt(host, port)) {
      return new AdoptingLoop(loops, early);
    }
    LOG.warn("the port that was opened first is not {}:{} of the settings; closes it", host, port);
    early.close();
    return loops;
  }

  /** Closes the port; open sessions go on. */
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

  /** Brings messages to the session. */
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
      LOG.debug("a caller's connection broke: {}", cause.toString());
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
      long unread = channel.unsafe().outboundBuffer() == null ? 0 : pendingBytes();
      if (unread > MAX_UNREAD_BYTES) {
        LOG.warn("a caller does not read its answers; closes its connection");
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
      // After what was written before.
      channel
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }
}
