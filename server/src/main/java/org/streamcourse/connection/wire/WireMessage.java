package org.streamcourse.connection.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * One complete message of the wire protocol: type byte, length and body.
 *
 * @param bytes bytes of the message, including type and length
 */
public record WireMessage(byte[] bytes) {
  /** Bytes before the body: type and length. */
  public static final int HEADER_BYTES = 5;

  /**
   * Returns the type.
   *
   * @return type byte as a character
   */
  public char type() {
    return (char) bytes[0];
  }

  /**
   * Opens the body for reading.
   *
   * @return reader at the first byte of the body
   */
  public Reader body() {
    return new Reader(ByteBuffer.wrap(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES));
  }

  /**
   * Returns the number of bytes, including the header.
   *
   * @return size
   */
  public int size() {
    return bytes.length;
  }

  /** Reads the fields of a body; reading past its end is a protocol violation. */
  public static final class Reader {
    private final ByteBuffer buffer;

    /**
     * Creates a reader.
     *
     * @param buffer body, big-endian
     */
    public Reader(ByteBuffer buffer) {
      this.buffer = buffer;
    }

    /**
     * Reads a null-terminated string.
     *
     * @return string without the terminator
     */
    public String text() {
      int start = buffer.position();
      int at = start;
      while (at < buffer.limit() && buffer.get(at) != 0) {
        at++;
      }
      if (at == buffer.limit()) {
        throw violation("string without null terminator");
      }
      byte[] content = new byte[at - start];
      buffer.get(content);
      buffer.get();
      return new String(content, StandardCharsets.UTF_8);
    }

    /**
     * Reads one byte.
     *
     * @return the byte
     */
    public byte int8() {
      require(Byte.BYTES);
      return buffer.get();
    }

    /**
     * Reads a 16-bit number.
     *
     * @return signed value
     */
    public short int16() {
      require(Short.BYTES);
      return buffer.getShort();
    }

    /**
     * Reads a 32-bit number.
     *
     * @return signed value
     */
    public int int32() {
      require(Integer.BYTES);
      return buffer.getInt();
    }

    /**
     * Reads bytes.
     *
     * @param count number of bytes
     * @return the bytes
     */
    public byte[] take(int count) {
      require(count);
      byte[] content = new byte[count];
      buffer.get(content);
      return content;
    }

    /**
     * Reads a value prefixed with its length.
     *
     * @return value, or null for a negative length
     */
    public byte[] value() {
      int length = int32();
      return length < 0 ? null : take(length);
    }

    /**
     * Reads the remaining bytes.
     *
     * @return all bytes not yet read
     */
    public byte[] rest() {
      return take(buffer.remaining());
    }

    /**
     * Returns whether bytes remain.
     *
     * @return true if not all bytes are read
     */
    public boolean hasRemaining() {
      return buffer.hasRemaining();
    }

    private void require(int count) {
      if (count < 0 || buffer.remaining() < count) {
        throw violation("message ends within a field");
      }
    }

    private static StreamcourseException violation(String what) {
      return new StreamcourseException(ErrorCode.PROTOCOL_VIOLATION, "read-message", "", what);
    }
  }
}
