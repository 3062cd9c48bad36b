package org.streamcourse.connection.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ByteProcessor;
import java.util.List;

/**
 * Splits received bytes into lines, each without its end. Only CR LF ends a line, unlike with
 * Netty's decoder of lines, so that no part of a message is taken for a message.
 *
 * <p>Fails once, with {@link TooLongFrameException} when a line is too long and with {@link
 * CorruptedFrameException} at a CR or LF by itself, and then drops all that follows.
 */
public final class LineDecoder extends ByteToMessageDecoder {
  private static final int LINE_END_BYTES = 2;
  private static final byte CR = '\r';
  private static final byte LF = '\n';

  private final int maxBytes;

  /** Number of bytes of the present line that hold neither a CR nor an LF. */
  private int scanned;

  private boolean failed;

  /**
   * Creates a decoder.
   *
   * @param maxBytes longest line, without its end
   */
  public LineDecoder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (failed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    scan(in);
    if (scanned > maxBytes) {
      throw failed(in, new TooLongFrameException("line exceeds " + maxBytes + " bytes"));
    }
    int end = in.readerIndex() + scanned;
    boolean partial = in.writerIndex() - end < LINE_END_BYTES;
    if (partial && (end == in.writerIndex() || in.getByte(end) == CR)) {
      return;
    }
    if (partial || in.getByte(end) != CR || in.getByte(end + 1) != LF) {
      throw failed(in, new CorruptedFrameException("line contains a CR or LF"));
    }
    out.add(in.readRetainedSlice(scanned));
    in.skipBytes(LINE_END_BYTES);
    scanned = 0;
  }

  private void scan(ByteBuf in) {
    int start = in.readerIndex() + scanned;
    int found = in.forEachByte(start, in.writerIndex() - start, ByteProcessor.FIND_CRLF);
    scanned = (found < 0 ? in.writerIndex() : found) - in.readerIndex();
  }

  private DecoderException failed(ByteBuf in, DecoderException cause) {
    failed = true;
    in.skipBytes(in.readableBytes());
    return cause;
  }
}
