package org.streamcourse.lab.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.streamcourse.process.settings.HostPort;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * TCP relay that forwards one port to one address with a one-way delay in each direction and keeps
 * the order of bytes. While the relay is cut, it forwards nothing and closes no connection, as in a
 * network partition; it forwards bytes received during the cut after {@link #heal()}.
 */
public final class Relay {
  /** One of the two directions of every connection. */
  public enum Direction {
    /** From the client to the target address. */
    TO_TARGET,
    /** From the target address to the client. */
    FROM_TARGET
  }

  private static final String FORWARD = "forward";
  private static final long CUT_POLL_MILLIS = 20;
  private static final int MAX_DELAYED_BYTES = 4 * 1024 * 1024;

  private final HostPort target;
  private final LoopResources loops;
  private final long delayMicros;
  private final DisposableServer server;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private final AtomicLong forwarders = new AtomicLong();
  private volatile Set<Direction> cut = Set.of();
  private volatile long extraDelayMicros;
  private volatile long lastStuckForwarder;

  /**
   * Opens a relay.
   *
   * @param listen address to listen on
   * @param target address to forward to
   * @param delayMicros one-way delay in microseconds
   * @param loops event loops
   */
  public Relay(HostPort listen, HostPort target, long delayMicros, LoopResources loops) {
    this.target = target;
    this.loops = loops;
    this.delayMicros = delayMicros;
    server =
        TcpServer.create()
            .host(listen.host())
            .port(listen.port())
            .runOn(loops, false)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .doOnConnection(this::accept)
            .bindNow();
  }

  /** Stops forwarding in both directions without closing connections. */
  public void cut() {
    cut = Set.of(Direction.values());
  }

  /**
   * Stops forwarding in one direction without closing connections. The other direction is
   * forwarded.
   *
   * @param direction direction to cut
   */
  public void cut(Direction direction) {
    cut = Set.of(direction);
  }

  /**
   * Sets an additional delay for bytes received from now on.
   *
   * @param micros additional one-way delay in microseconds, 0 for none
   */
  public void setExtraDelayMicros(long micros) {
    extraDelayMicros = micros;
  }

  /** Resumes forwarding, except on connections that {@link #healNewConnectionsOnly()} keeps cut. */
  public void heal() {
    cut = Set.of();
  }

  /**
   * Resumes forwarding on new connections only. Existing connections forward nothing in either
   * direction from now on, also after {@link #heal()}, as when the sender's host has stopped
   * retransmitting for a while.
   */
  public void healNewConnectionsOnly() {
    lastStuckForwarder = forwarders.get();
    cut = Set.of();
  }

  /** Closes all connections through the relay. */
  public void breakConnections() {
    channels.forEach(Channel::close);
  }

  /** Closes the relay and all connections through it. */
  public void close() {
    server.disposeNow();
    breakConnections();
  }

  private void accept(Connection accepted) {
    Channel clientChannel = accepted.channel();
    channels.add(clientChannel);
    clientChannel.closeFuture().addListener(any -> channels.remove(clientChannel));
    TcpClient.newConnection()
        .host(target.host())
        .port(target.port())
        .runOn(loops, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .connect()
        .subscribe(opened -> connectBoth(accepted, opened), any -> clientChannel.close());
  }

  private void connectBoth(Connection accepted, Connection opened) {
    Channel clientChannel = accepted.channel();
    Channel targetChannel = opened.channel();
    channels.add(targetChannel);
    targetChannel.closeFuture().addListener(any -> channels.remove(targetChannel));
    accepted.addHandlerLast(FORWARD, new Forwarder(targetChannel, Direction.TO_TARGET));
    opened.addHandlerLast(FORWARD, new Forwarder(clientChannel, Direction.FROM_TARGET));
    clientChannel.config().setAutoRead(true);
    targetChannel.config().setAutoRead(true);
    if (!clientChannel.isActive()) {
      targetChannel.close();
    }
  }

  /** Bytes and the time to forward them; no bytes mark the end of the stream. */
  private record Delayed(ByteBuf bytes, long dueNanos) {
    boolean isEnd() {
      return !bytes.isReadable();
    }
  }

  /**
   * Forwards bytes from one side of a connection to the other after the delay. All delayed bytes
   * are in one queue and only its head is forwarded, so a cut can't change the order. Runs on the
   * event loop of the side that sends.
   */
  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel destination;
    private final Direction direction;
    private final Deque<Delayed> queue = new ArrayDeque<>();
    private final long number = forwarders.incrementAndGet();
    private boolean forwardScheduled;
    private int delayedBytes;

    Forwarder(Channel destination, Direction direction) {
      this.destination = destination;
      this.direction = direction;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      delayedBytes += bytes.readableBytes();
      if (delayedBytes > MAX_DELAYED_BYTES) {
        context.channel().config().setAutoRead(false);
      }
      enqueue(context, bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      enqueue(context, Unpooled.EMPTY_BUFFER);
    }

    private void enqueue(ChannelHandlerContext context, ByteBuf bytes) {
      long delayNanos = TimeUnit.MICROSECONDS.toNanos(delayMicros + extraDelayMicros);
      queue.add(new Delayed(bytes, System.nanoTime() + delayNanos));
      if (!forwardScheduled) {
        forwardScheduled = true;
        scheduleForwardDue(context, delayNanos);
      }
    }

    private void scheduleForwardDue(ChannelHandlerContext context, long nanos) {
      context.executor().schedule(() -> forwardDue(context), nanos, TimeUnit.NANOSECONDS);
    }

    /** Forwards all bytes that are due, and reschedules itself for the next ones. */
    private void forwardDue(ChannelHandlerContext context) {
      while (!queue.isEmpty()) {
        long remainingNanos = queue.peek().dueNanos() - System.nanoTime();
        if (remainingNanos > 0) {
          scheduleForwardDue(context, remainingNanos);
          return;
        }
        if ((cut.contains(direction) || number <= lastStuckForwarder) && destination.isActive()) {
          scheduleForwardDue(context, TimeUnit.MILLISECONDS.toNanos(CUT_POLL_MILLIS));
          return;
        }
        forward(context, queue.poll());
      }
      forwardScheduled = false;
    }

    private void forward(ChannelHandlerContext context, Delayed next) {
      if (next.isEnd()) {
        destination.writeAndFlush(next.bytes()).addListener(ChannelFutureListener.CLOSE);
        return;
      }
      int size = next.bytes().readableBytes();
      destination
          .writeAndFlush(next.bytes())
          .addListener(any -> context.executor().execute(() -> onForwarded(context, size)));
    }

    private void onForwarded(ChannelHandlerContext context, int size) {
      delayedBytes -= size;
      if (delayedBytes <= MAX_DELAYED_BYTES / 2) {
        context.channel().config().setAutoRead(true);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
