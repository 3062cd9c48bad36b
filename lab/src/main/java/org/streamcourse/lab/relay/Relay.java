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
 * Forwards one port to one address. Each direction has a constant one-way delay, so the order of
 * bytes is kept. While the relay is cut, nothing passes and no connection breaks: the sides notice
 * only silence, as in a network partition; what was sent meanwhile passes after {@link #heal()}.
 */
public final class Relay {
  /** One of the two directions of every connection. */
  public enum Direction {
    /** From whoever connects to the address that is forwarded to. */
    TO_TARGET,
    /** From the address that is forwarded to back to whoever connected. */
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
  private volatile long stuckUpTo;

  /**
   * Opens a relay.
   *
   * @param listen address to listen at
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

  /** Lets nothing pass any more, silently. */
  public void cut() {
    cut = Set.of(Direction.values());
  }

  /**
   * Lets nothing pass in one direction any more, silently.
   *
   * @param direction what is held back; the other direction passes
   */
  public void cut(Direction direction) {
    cut = Set.of(direction);
  }

  /**
   * Adds to the delay of what is sent from now on.
   *
   * @param micros further one-way delay in microseconds, 0 for none
   */
  public void setExtraDelayMicros(long micros) {
    extraDelayMicros = micros;
  }

  /** Lets everything pass again. */
  public void heal() {
    cut = Set.of();
  }

  /**
   * Lets new connections pass again; those of before stay silent, as when the sender's machine has
   * stopped trying for a while.
   */
  public void healNewConnectionsOnly() {
    stuckUpTo = forwarders.get();
    cut = Set.of();
  }

  /** Breaks all connections that pass through. */
  public void breakConnections() {
    channels.forEach(Channel::close);
  }

  /** Closes the relay. */
  public void close() {
    server.disposeNow();
    breakConnections();
  }

  private void accept(Connection accepted) {
    Channel near = accepted.channel();
    channels.add(near);
    near.closeFuture().addListener(any -> channels.remove(near));
    TcpClient.newConnection()
        .host(target.host())
        .port(target.port())
        .runOn(loops, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .connect()
        .subscribe(opened -> join(accepted, opened), any -> near.close());
  }

  private void join(Connection accepted, Connection opened) {
    Channel near = accepted.channel();
    Channel far = opened.channel();
    channels.add(far);
    far.closeFuture().addListener(any -> channels.remove(far));
    accepted.addHandlerLast(FORWARD, new Forwarder(far, Direction.TO_TARGET));
    opened.addHandlerLast(FORWARD, new Forwarder(near, Direction.FROM_TARGET));
    near.config().setAutoRead(true);
    far.config().setAutoRead(true);
    if (!near.isActive()) {
      far.close();
    }
  }

  /** Bytes, or the end of the stream when there are none, and when they may pass. */
  private record Delayed(ByteBuf bytes, long dueNanos) {
    boolean isEnd() {
      return !bytes.isReadable();
    }
  }

  /**
   * Passes what one side sends on to the other after the delay. All that waits stands in one queue,
   * whose head alone is looked at, so a cut can't change the order. Runs on the sender's event
   * loop.
   */
  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel to;
    private final Direction direction;
    private final Deque<Delayed> queue = new ArrayDeque<>();
    private final long number = forwarders.incrementAndGet();
    private boolean pumping;
    private int delayedBytes;

    Forwarder(Channel to, Direction direction) {
      this.to = to;
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
      if (!pumping) {
        pumping = true;
        pumpAfter(context, delayNanos);
      }
    }

    private void pumpAfter(ChannelHandlerContext context, long nanos) {
      context.executor().schedule(() -> pump(context), nanos, TimeUnit.NANOSECONDS);
    }

    /** Passes all that is due, and looks again when the next is. */
    private void pump(ChannelHandlerContext context) {
      while (!queue.isEmpty()) {
        long early = queue.peek().dueNanos() - System.nanoTime();
        if (early > 0) {
          pumpAfter(context, early);
          return;
        }
        if ((cut.contains(direction) || number <= stuckUpTo) && to.isActive()) {
          pumpAfter(context, TimeUnit.MILLISECONDS.toNanos(CUT_POLL_MILLIS));
          return;
        }
        pass(context, queue.poll());
      }
      pumping = false;
    }

    private void pass(ChannelHandlerContext context, Delayed next) {
      if (next.isEnd()) {
        to.writeAndFlush(next.bytes()).addListener(ChannelFutureListener.CLOSE);
        return;
      }
      int size = next.bytes().readableBytes();
      to.writeAndFlush(next.bytes())
          .addListener(any -> context.executor().execute(() -> passed(context, size)));
    }

    private void passed(ChannelHandlerContext context, int size) {
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
