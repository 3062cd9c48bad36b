package org.streamcourse.connection.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Builds one message of the wire protocol. */
public final class WireBuilder {
  private static final int NO_TYPE = -1;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final int type;

  private WireBuilder(int type) {
    this.type = type;
  }

  /**
   * Starts a message.
   *
   * @param type type byte
   * @return builder
   */
  public static WireBuilder message(char type) {
    return new WireBuilder(type);
  }

  /**
   * Starts a message without type byte, such as the startup message.
   *
   * @return builder
   */
  public static WireBuilder untyped() {
    return new WireBuilder(NO_TYPE);
  }

  /**
   * Adds a null-terminated string.
   *
   * @param text the text
   * @return this
   */
  public WireBuilder text(String text) {
    body.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    body.write(0);
    return this;
  }

  /**
   * Adds one byte.
   *
   * @param value the byte
   * @return this
   */
  public WireBuilder int8(int value) {
    body.write(value);
    return this;
  }

  /**
   * Adds a 16-bit number.
   *
   * @param value the number
   * @return this
   */
  public WireBuilder int16(int value) {
    body.write(value >>> 8);
    body.write(value);
    return this;
  }

  /**
   * Adds a 32-bit number.
   *
   * @param value the number
   * @return this
   */
  public WireBuilder int32(int value) {
    int16(value >>> 16);
    int16(value);
    return this;
  }

  /**
   * Adds raw bytes.
   *
   * @param content the bytes
   * @return this
   */
  public WireBuilder raw(byte[] content) {
    body.writeBytes(content);
    return this;
  }

  /**
   * Adds a value prefixed with its length.
   *
   * @param content the value, null for SQL NULL
   * @return this
   */
  public WireBuilder value(byte[] content) {
    if (content == null) {
      return int32(-1);
    }
    return int32(content.length).raw(content);
  }

  /**
   * Returns the bytes of the message.
   *
   * @return type byte, length and body
   */
  public byte[] bytes() {
    byte[] content = body.toByteArray();
    int length = content.length + Integer.BYTES;
    ByteArrayOutputStream out = new ByteArrayOutputStream(length + 1);
    if (type != NO_TYPE) {
      out.write(type);
    }
    out.write(length >>> 24);
    out.write(length >>> 16);
    out.write(length >>> 8);
    out.write(length);
    out.writeBytes(content);
    return out.toByteArray();
  }

  /**
   * Builds the message.
   *
   * @return the message
   */
  public WireMessage build() {
    return new WireMessage(bytes());
  }
}
