package org.streamcourse.connection.frontend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * Parameters that a caller has set for its session. Parameters of the proxy take effect here; all
 * others are set on each member connection that the session uses.
 */
final class SessionParameters {
  /** Prefix of the proxy's parameters. */
  static final String PROXY_PREFIX = "streamcourse.";

  /** The floor as a token; reported to the caller and accepted in a startup message. */
  static final String FLOOR = PROXY_PREFIX + "floor";

  /** Maximum staleness that reads of this session accept, in milliseconds. */
  static final String MAX_STALENESS = PROXY_PREFIX + "max_staleness_ms";

  /**
   * Idempotency key of the next write outside a transaction; retries with it run the write once.
   */
  static final String REQUEST_KEY = PROXY_PREFIX + "request_key";

  private static final int MAX_REQUEST_KEY_CHARACTERS = 128;

  private static final Pattern SET =
      Pattern.compile(
          "SET\\s+(?:SESSION\\s+)?([\\w.]+)\\s*(?:=|\\s+TO\\s+)\\s*(.+)",
          Pattern.CASE_INSENSITIVE | Pattern.DOTALL);
  private static final Pattern TIME_ZONE =
      Pattern.compile("SET\\s+TIME\\s+ZONE\\s+(.+)", Pattern.CASE_INSENSITIVE | Pattern.DOTALL);
  private static final Pattern CHARACTERISTICS =
      Pattern.compile(
          "SET\\s+SESSION\\s+CHARACTERISTICS\\s+AS\\s+TRANSACTION\\s+(.+)",
          Pattern.CASE_INSENSITIVE | Pattern.DOTALL);
  private static final Pattern RESET =
      Pattern.compile("RESET\\s+([\\w.]+)", Pattern.CASE_INSENSITIVE);

  private final Map<String, String> values = new LinkedHashMap<>();
  private long maxStalenessMillis = Long.MAX_VALUE;
  private boolean readOnly;
  private String requestKey = "";

  /** Returns the statements that set the parameters on a connection in its initial state. */
  List<String> statements() {
    List<String> statements = new ArrayList<>();
    values.forEach((name, value) -> statements.add("SET " + name + " = " + value));
    return statements;
  }

  long maxStalenessMillis() {
    return maxStalenessMillis;
  }

  /** Returns whether the caller has declared all transactions of the session read-only. */
  boolean isReadOnly() {
    return readOnly;
  }

  String requestKey() {
    return requestKey;
  }

  /** Returns the idempotency key for the current write and clears it for the next. */
  String takeRequestKey() {
    String taken = requestKey;
    requestKey = "";
    return taken;
  }

  /** Executes a SET or RESET statement; returns its command tag. */
  String apply(String sql) {
    String text = sql.strip().replaceAll(";\\s*$", "");
    Matcher characteristics = CHARACTERISTICS.matcher(text);
    if (characteristics.matches()) {
      readOnly = characteristics.group(1).toUpperCase(Locale.ROOT).contains("READ ONLY");
      return "SET";
    }
    Matcher zone = TIME_ZONE.matcher(text);
    if (zone.matches()) {
      values.put("timezone", zone.group(1));
      return "SET";
    }
    Matcher reset = RESET.matcher(text);
    if (reset.matches()) {
      reset(reset.group(1).toLowerCase(Locale.ROOT));
      return "RESET";
    }
    Matcher set = SET.matcher(text);
    if (!set.matches()) {
      throw new StreamcourseException(
          ErrorCode.INVALID_COMMAND, "set", "", "cannot parse the SET statement: " + text);
    }
    set(set.group(1).toLowerCase(Locale.ROOT), set.group(2).strip());
    return "SET";
  }

  private void reset(String name) {
    if (name.equals("all")) {
      values.clear();
      maxStalenessMillis = Long.MAX_VALUE;
      requestKey = "";
    } else if (name.equals(MAX_STALENESS)) {
      maxStalenessMillis = Long.MAX_VALUE;
    } else if (name.equals(REQUEST_KEY)) {
      requestKey = "";
    } else {
      values.remove(name);
    }
  }

  void set(String name, String value) {
    if (name.equals(MAX_STALENESS)) {
      maxStalenessMillis = parseMillis(unquote(value));
    } else if (name.equals(REQUEST_KEY)) {
      requestKey = validatedKey(unquote(value));
    } else if (name.startsWith(PROXY_PREFIX)) {
      throw new StreamcourseException(
          ErrorCode.INVALID_COMMAND, "set", "", "parameter \"" + name + "\" can't be set");
    } else {
      values.put(name, value);
    }
  }

  private static String validatedKey(String key) {
    boolean printable = key.chars().allMatch(each -> each >= ' ' && each != '\u007f');
    if (key.isEmpty() || key.length() > MAX_REQUEST_KEY_CHARACTERS || !printable) {
      throw new StreamcourseException(
          ErrorCode.INVALID_COMMAND,
          "set",
          "",
          REQUEST_KEY + " must be 1 to " + MAX_REQUEST_KEY_CHARACTERS + " printable characters");
    }
    return key;
  }

  private static long parseMillis(String text) {
    try {
      long millis = Long.parseLong(text);
      if (millis >= 1) {
        return millis;
      }
    } catch (NumberFormatException e) {
      // The error below names the parameter.
    }
    throw new StreamcourseException(
        ErrorCode.INVALID_COMMAND,
        "set",
        "",
        MAX_STALENESS + " must be a whole number of milliseconds, at least 1: " + text);
  }

  private static String unquote(String value) {
    boolean quoted = value.length() >= 2 && value.startsWith("'") && value.endsWith("'");
    return quoted ? value.substring(1, value.length() - 1) : value;
  }
}
