package org.streamcourse.connection.peer;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;

/**
 * Decodes the frames of one peer link, in the order in which they arrive; the sender uses a {@link
 * FramePacker}. Used by one thread at a time.
 */
final class FrameReader {
  private static final int CHUNK_BYTES = 2 * 1_024;

  private Inflater inflater;

  /**
   * Decodes the next frame.
   *
   * @param frame frame without its length
   * @return encoded message
   */
  byte[] read(byte[] frame) {
    if (frame.length == 0 || frame[0] != FrameCompression.STREAM) {
      return FrameCompression.unpack(frame);
    }
    if (inflater == null) {
      inflater = new Inflater(true);
    }
    ByteArrayOutputStream message = new ByteArrayOutputStream(frame.length * 2);
    try {
      inflater.setInput(frame, 1, frame.length - 1);
      inflate(message);
      inflater.setInput(FramePacker.FLUSH_MARKER);
      inflate(message);
    } catch (DataFormatException e) {
      throw FrameCompression.unreadable(e.toString(), e);
    }
    return message.toByteArray();
  }

  private void inflate(ByteArrayOutputStream message) throws DataFormatException {
    byte[] chunk = new byte[CHUNK_BYTES];
    int length = inflater.inflate(chunk);
    while (length > 0) {
      message.write(chunk, 0, length);
      if (message.size() > FramePacker.MAX_STREAM_BYTES) {
        throw FrameCompression.unreadable(
            "longer than " + FramePacker.MAX_STREAM_BYTES + " bytes", null);
      }
      length = inflater.inflate(chunk);
    }
    if (inflater.needsDictionary() || inflater.finished()) {
      throw FrameCompression.unreadable("compressed stream has ended", null);
    }
  }

  /** Frees the stream's memory. */
  void close() {
    if (inflater != null) {
      inflater.end();
      inflater = null;
    }
  }
}
