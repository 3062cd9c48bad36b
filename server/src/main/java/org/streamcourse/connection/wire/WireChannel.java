package org.streamcourse.connection.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.concurrent.TimeUnit;
import org.streamcourse.connection.frontend.CallerChannel;
import org.streamcourse.process.FatalErrors;
import reactor.netty.Connection;

/**
 * A TCP connection that carries the wire protocol. Reading can be paused, so that TCP flow control
 * slows the sender down when the receiver is slow, instead of messages filling the heap.
 */
public final class WireChannel implements CallerChannel {
  private static final long HALF_CLOSE_MILLIS = 1_000;
  private static final String FRAME_DECODER = "wireFrames";
  private static final String MESSAGE_HANDLER = "wireMessages";
  private static final int LENGTH_BYTES = Integer.BYTES;

  private final Channel channel;
  private final int maxFrameBytes;
  private WireHandler handler;
  private boolean closedReported;
  private boolean halfClosesFirst;

  private WireChannel(Channel channel, int maxFrameBytes) {
    this.channel = channel;
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Wraps an accepted connection. Its messages have no type byte until {@link #typedMessages()} is
   * called.
   *
   * @param connection the connection
   * @param maxStartupBytes maximum size of a startup message
   * @param maxFrameBytes maximum size of a later message
   * @return channel that reads nothing until {@link #open}
   */
  public static WireChannel accepted(
      Connection connection, int maxStartupBytes, int maxFrameBytes) {
    WireChannel wire = new WireChannel(connection.channel(), maxFrameBytes);
    wire.halfClosesFirst = true;
    connection.addHandlerLast(
        FRAME_DECODER,
        new LengthFieldBasedFrameDecoder(maxStartupBytes, 0, LENGTH_BYTES, -LENGTH_BYTES, 0));
    connection.addHandlerLast(MESSAGE_HANDLER, wire.new MessageHandler());
    return wire;
  }

  /**
   * Wraps a connection that this process opened.
   *
   * @param connection the connection
   * @param maxFrameBytes maximum size of a message
   * @return channel that reads nothing until {@link #open}
   */
  public static WireChannel connected(Connection connection, int maxFrameBytes) {
    WireChannel wire = new WireChannel(connection.channel(), maxFrameBytes);
    connection.addHandlerLast(FRAME_DECODER, wire.typedDecoder());
    connection.addHandlerLast(MESSAGE_HANDLER, wire.new MessageHandler());
    return wire;
  }

  private LengthFieldBasedFrameDecoder typedDecoder() {
    return new LengthFieldBasedFrameDecoder(maxFrameBytes, 1, LENGTH_BYTES, -LENGTH_BYTES, 0);
  }

  /**
   * Starts reading.
   *
   * @param receiver receives the messages and the close
   */
  public void open(WireHandler receiver) {
    channel.eventLoop().execute(() -> startReading(receiver));
  }

  private void startReading(WireHandler receiver) {
    handler = receiver;
    if (channel.isActive()) {
      channel.config().setAutoRead(true);
    } else {
      reportClosed(null);
    }
  }

  /** Switches to messages with a type byte; called on the event loop. */
  public void typedMessages() {
    channel.pipeline().replace(FRAME_DECODER, FRAME_DECODER, typedDecoder());
  }

  /**
   * Sends messages in the order of the calls; safe from any thread.
   *
   * @param bytes complete messages
   */
  @Override
  public void send(byte[] bytes) {
    channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
  }

  /**
   * Sends messages and reports when they have been written to the socket.
   *
   * @param bytes complete messages
   * @param written runs on the event loop, also if the channel is closed before the write
   */
  @Override
  public void send(byte[] bytes, Runnable written) {
    channel
        .writeAndFlush(Unpooled.wrappedBuffer(bytes))
        .addListener((ChannelFutureListener) any -> written.run());
  }

  /** Stops reading until {@link #resumeReading()}. */
  @Override
  public void pauseReading() {
    channel.config().setAutoRead(false);
  }

  /** Resumes reading. */
  @Override
  public void resumeReading() {
    channel.config().setAutoRead(true);
  }

  /**
   * Closes the channel once all sent messages are written. On an accepted connection only the
   * output is shut down at first: if a request of the caller arrived after a full close, the caller
   * would receive a TCP reset and lose the last message, which carries the reason for the close.
   */
  @Override
  public void close() {
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener((ChannelFutureListener) any -> closeOutput());
  }

  private void closeOutput() {
    if (halfClosesFirst && channel instanceof DuplexChannel duplex && channel.isActive()) {
      duplex.shutdownOutput();
      channel.config().setAutoRead(true);
      channel.eventLoop().schedule(() -> channel.close(), HALF_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      channel.close();
    }
  }

  /**
   * Returns the peer's address.
   *
   * @return address for logs
   */
  public String remote() {
    return String.valueOf(channel.remoteAddress());
  }

  private void reportClosed(Throwable cause) {
    if (!closedReported && handler != null) {
      closedReported = true;
      handler.onClosed(cause);
    }
  }

  private final class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      handler.onMessage(new WireMessage(bytes));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (handler != null) {
        handler.onReadComplete();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      reportClosed(null);
      super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      reportClosed(cause);
      context.close();
    }
  }
}
