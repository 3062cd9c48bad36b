package org.streamcourse.request.edge;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.TermPosition;

/**
 * Text form of a session's floor, which callers receive and present again later: group, term and
 * position with a signature, so that a damaged or forged token is refused.
 */
public final class FloorToken {
  private static final String SEPARATOR = "/";
  private static final int PARTS = 3;

  private FloorToken() {}

  /**
   * Encodes a token.
   *
   * @param key signs the token
   * @param group group's name
   * @param floor the floor
   * @return token of letters, digits, {@code -}, {@code _} and {@code .}
   */
  public static String write(FleetKey key, String group, TermPosition floor) {
    String content = floor.term() + SEPARATOR + floor.position() + SEPARATOR + group;
    return encode(content.getBytes(StandardCharsets.UTF_8)) + '.' + encode(key.sign(content));
  }

  /**
   * Verifies and decodes a token.
   *
   * @param key key that signed the token
   * @param group group that the caller connects to
   * @param token the token
   * @return floor
   * @throws StreamcourseException when the token is damaged, forged or belongs to another group
   */
  public static TermPosition read(FleetKey key, String group, String token) {
    int dot = token.indexOf('.');
    try {
      String content = new String(decode(token.substring(0, dot)), StandardCharsets.UTF_8);
      if (!key.verifies(content, decode(token.substring(dot + 1)))) {
        throw invalid("its signature is wrong");
      }
      String[] parts = content.split(SEPARATOR, PARTS);
      if (!parts[2].equals(group)) {
        throw invalid("it belongs to database '" + parts[2] + "'");
      }
      return new TermPosition(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw invalid("it is damaged");
    }
  }

  private static String encode(byte[] bytes) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static byte[] decode(String text) {
    return Base64.getUrlDecoder().decode(text);
  }

  private static StreamcourseException invalid(String why) {
    return new StreamcourseException(
        ErrorCode.INVALID_FLOOR_TOKEN, "read-floor", "", "streamcourse.floor is refused: " + why);
  }
}
