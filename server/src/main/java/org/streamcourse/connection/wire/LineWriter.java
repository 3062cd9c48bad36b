package org.streamcourse.connection.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Formats lines that end at CR LF, for {@link LineDecoder}. */
public final class LineWriter {
  private static final String LINE_END = "\r\n";

  private LineWriter() {}

  /**
   * Appends one line of fields.
   *
   * @param lines receives the line
   * @param fields fields of the line
   * @throws IllegalArgumentException when a field contains a CR or LF, which could end the line
   */
  public static void append(StringBuilder lines, String... fields) {
    for (int i = 0; i < fields.length; i++) {
      if (!isSingleLine(fields[i])) {
        throw new IllegalArgumentException("field " + i + " of a line contains a CR or LF");
      }
      if (i > 0) {
        lines.append(' ');
      }
      lines.append(fields[i]);
    }
    lines.append(LINE_END);
  }

  /**
   * Checks that a text can't end a line.
   *
   * @param text the text
   * @return true if it contains neither a CR nor an LF
   */
  public static boolean isSingleLine(String text) {
    return text.indexOf('\n') < 0 && text.indexOf('\r') < 0;
  }

  /**
   * Replaces the line breaks of a description by blanks.
   *
   * @param text the description
   * @return the description as one line
   */
  public static String toSingleLine(String text) {
    return isSingleLine(text) ? text : text.replace('\n', ' ').replace('\r', ' ');
  }

  /**
   * Encodes lines, one byte for each character.
   *
   * @param allocator allocates the buffer
   * @param lines the lines
   * @return buffer with the lines
   */
  public static ByteBuf toBytes(ByteBufAllocator allocator, StringBuilder lines) {
    ByteBuf bytes = allocator.buffer(lines.length());
    bytes.writeCharSequence(lines, StandardCharsets.ISO_8859_1);
    return bytes;
  }
}
