package org.streamcourse.process;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Encodes and decodes frames {@code length, CRC32C, payload} of append-only files. */
public final class Frames {
  /** Bytes before the payload. */
  public static final int HEADER_BYTES = 8;

  private Frames() {}

  /**
   * Encodes a payload as a frame.
   *
   * @param payload at least one byte
   * @return the frame
   */
  public static byte[] write(byte[] payload) {
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(payload.length)
        .putInt(checksum(payload))
        .put(payload)
        .array();
  }

  /**
   * Reads one frame. If the frame is incomplete, the buffer's position is undefined afterwards.
   *
   * @param buffer buffer positioned at the start of a frame
   * @return payload, or null if the frame is truncated or its checksum is wrong
   */
  public static byte[] read(ByteBuffer buffer) {
    if (buffer.remaining() < HEADER_BYTES) {
      return null;
    }
    int length = buffer.getInt();
    int expected = buffer.getInt();
    if (length <= 0 || length > buffer.remaining()) {
      return null;
    }
    byte[] payload = new byte[length];
    buffer.get(payload);
    return checksum(payload) == expected ? payload : null;
  }

  private static int checksum(byte[] payload) {
    CRC32C checksum = new CRC32C();
    checksum.update(payload);
    return (int) checksum.getValue();
  }
}
