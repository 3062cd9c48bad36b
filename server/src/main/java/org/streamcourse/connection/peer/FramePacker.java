package org.streamcourse.connection.peer;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.Deflater;

/**
 * Turns the messages of one link into frames, in the order in which they are written. On a link to
 * another region, small messages share one compressed stream, so that what was said before (names,
 * addresses, members, a statement's text) costs two or three bytes when it is said again: a
 * heartbeat of 300 bytes takes some 60.
 *
 * <p>A stream keeps 268 KB, so a link has one only after it has carried {@link #EARNED_BYTES} of
 * small messages. Guarded by the lock of its link.
 */
final class FramePacker {
  /** Small messages after which a link to another region gets a stream: a node's first seconds. */
  static final int EARNED_BYTES = 2 * 1_024;

  /** Longer messages are compressed alone; the stream's window of 32 KB is kept for short ones. */
  static final int MAX_STREAM_BYTES = 8 * 1_024;

  /** What ends a flushed block; left out of a frame, and put back by {@link FrameReader}. */
  static final byte[] FLUSHED = {0, 0, (byte) 0xFF, (byte) 0xFF};

  private static final int CHUNK_BYTES = 2 * 1_024;

  private final byte[] chunk = new byte[CHUNK_BYTES];
  private Deflater deflater;
  private int smallBytes;
  private boolean closed;

  /**
   * Packs the next message.
   *
   * @param message encoded message
   * @param farAway whether the peer stands in another region
   * @return frame without its length
   */
  byte[] pack(byte[] message, boolean farAway) {
    boolean fits = message.length > 0 && message.length <= MAX_STREAM_BYTES;
    if (!farAway || closed || !fits) {
      return FrameCompression.pack(message);
    }
    if (deflater == null && !hasEarnedStream(message.length)) {
      return FrameCompression.pack(message);
    }
    ByteArrayOutputStream frame = new ByteArrayOutputStream(message.length / 2 + 1);
    frame.write(FrameCompression.STREAM);
    deflater.setInput(message);
    int length;
    do {
      length = deflater.deflate(chunk, 0, chunk.length, Deflater.SYNC_FLUSH);
      frame.write(chunk, 0, length);
    } while (length == chunk.length);
    byte[] packed = frame.toByteArray();
    return Arrays.copyOf(packed, packed.length - FLUSHED.length);
  }

  private boolean hasEarnedStream(int length) {
    smallBytes += length;
    if (smallBytes < EARNED_BYTES) {
      return false;
    }
    deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);
    return true;
  }

  /** Gives the stream's memory back; later messages are packed alone. */
  void close() {
    closed = true;
    if (deflater != null) {
      deflater.end();
      deflater = null;
    }
  }
}
