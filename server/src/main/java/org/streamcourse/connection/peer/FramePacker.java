package org.streamcourse.connection.peer;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.Deflater;

/**
 * Encodes the messages of one peer link as frames, in the order in which they are written. On a
 * link to another region, small messages share one compressed stream, so that repeated content
 * (names, addresses, members, a statement's text) takes two or three bytes: a heartbeat of 300
 * bytes takes some 60.
 *
 * <p>A stream occupies 268 KB of memory, so a link gets one only after it has carried {@link
 * #STREAM_THRESHOLD_BYTES} of small messages. Guarded by the lock of its link.
 */
final class FramePacker {
  /**
   * Bytes of small messages after which a link to another region gets a stream; an active node
   * reaches them within seconds.
   */
  static final int STREAM_THRESHOLD_BYTES = 2 * 1_024;

  /**
   * Longer messages are compressed separately, so that they do not displace short ones from the
   * stream's window of 32 KB.
   */
  static final int MAX_STREAM_BYTES = 8 * 1_024;

  /**
   * Bytes that end each flushed block; {@link FramePacker} omits them from the frame and {@link
   * FrameReader} restores them.
   */
  static final byte[] FLUSH_MARKER = {0, 0, (byte) 0xFF, (byte) 0xFF};

  private static final int CHUNK_BYTES = 2 * 1_024;

  private final byte[] chunk = new byte[CHUNK_BYTES];
  private Deflater deflater;
  private int smallBytes;
  private boolean closed;

  /**
   * Encodes the next message.
   *
   * @param message encoded message
   * @param otherRegion whether the peer is in another region
   * @return frame without its length
   */
  byte[] pack(byte[] message, boolean otherRegion) {
    boolean fits = message.length > 0 && message.length <= MAX_STREAM_BYTES;
    if (!otherRegion || closed || !fits) {
      return FrameCompression.pack(message);
    }
    if (deflater == null && !openStreamAfterThreshold(message.length)) {
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
    return Arrays.copyOf(packed, packed.length - FLUSH_MARKER.length);
  }

  private boolean openStreamAfterThreshold(int length) {
    smallBytes += length;
    if (smallBytes < STREAM_THRESHOLD_BYTES) {
      return false;
    }
    deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);
    return true;
  }

  /** Frees the stream's memory; later messages are compressed separately. */
  void close() {
    closed = true;
    if (deflater != null) {
      deflater.end();
      deflater = null;
    }
  }
}
