package org.streamcourse.connection.peer;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * Compresses long messages between processes, such as a configuration that is sent to every node of
 * another region. The first byte of a frame says whether the rest is plain, compressed separately
 * or part of the link's compressed stream.
 */
final class FrameCompression {
  private static final byte PLAIN = 0;
  private static final byte COMPRESSED = 1;

  /** First byte of a frame that continues the link's compressed stream. */
  static final byte STREAM = 2;

  /** Compressing shorter messages saves too few bytes for its processor time. */
  private static final int MIN_COMPRESSED_BYTES = 1_024;

  private static final int CHUNK_BYTES = 4_096;
  private static final int MAX_MESSAGE_BYTES = 96 * 1024 * 1024;

  private FrameCompression() {}

  static byte[] pack(byte[] message) {
    if (message.length < MIN_COMPRESSED_BYTES) {
      byte[] frame = new byte[message.length + 1];
      frame[0] = PLAIN;
      System.arraycopy(message, 0, frame, 1, message.length);
      return frame;
    }
    ByteArrayOutputStream frame = new ByteArrayOutputStream(message.length + 1);
    frame.write(COMPRESSED);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(message);
      deflater.finish();
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!deflater.finished()) {
        frame.write(chunk, 0, deflater.deflate(chunk));
      }
    } finally {
      deflater.end();
    }
    return frame.toByteArray();
  }

  static byte[] unpack(byte[] frame) {
    if (frame.length == 0) {
      throw unreadable("empty", null);
    }
    if (frame[0] == PLAIN) {
      return Arrays.copyOfRange(frame, 1, frame.length);
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(frame, 1, frame.length - 1);
      ByteArrayOutputStream message = new ByteArrayOutputStream(frame.length * 2);
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!inflater.finished()) {
        int length = inflater.inflate(chunk);
        if (length == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
          throw unreadable("truncated", null);
        }
        message.write(chunk, 0, length);
        if (message.size() > MAX_MESSAGE_BYTES) {
          throw unreadable("longer than " + MAX_MESSAGE_BYTES + " bytes", null);
        }
      }
      return message.toByteArray();
    } catch (DataFormatException e) {
      throw unreadable(e.toString(), e);
    } finally {
      inflater.end();
    }
  }

  static StreamcourseException unreadable(String reason, Throwable cause) {
    return new StreamcourseException(
        ErrorCode.PROTOCOL_VIOLATION, "unpack", "", "unreadable frame: " + reason, 0, cause);
  }
}
