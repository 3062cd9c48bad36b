package org.streamcourse.request.edge;

/**
 * Replaces the literals of a statement, so that statements which differ only in their values share
 * one classification. The class of a statement never depends on the value of a literal.
 *
 * <p>Texts in which the end of a literal cannot be found by a simple scan (those with comments,
 * quoted identifiers, backslashes, dollar quotes or prefixed literals) are returned unchanged.
 */
final class LiteralMask {
  private static final String MASKED_TEXT = "'x'";
  private static final char MASKED_NUMBER = '1';
  private static final char QUOTE = '\'';

  private final String sql;
  private final StringBuilder masked;
  private int index;

  private LiteralMask(String sql) {
    this.sql = sql;
    this.masked = new StringBuilder(sql.length());
  }

  /**
   * Masks the literals of a text.
   *
   * @param sql one or more statements
   * @return the text with every text literal and every number replaced, or the same text
   */
  static String mask(String sql) {
    return sql.indexOf('\\') < 0 ? new LiteralMask(sql).run() : sql;
  }

  private String run() {
    while (index < sql.length()) {
      char c = sql.charAt(index);
      if (isAmbiguous(c)) {
        return sql;
      }
      if (c == QUOTE) {
        if (!skipText()) {
          return sql;
        }
        masked.append(MASKED_TEXT);
      } else if (isDigit(c) && !isNamePart(previousChar())) {
        skipDigits();
        masked.append(MASKED_NUMBER);
      } else {
        masked.append(c);
        index++;
      }
    }
    return masked.toString();
  }

  private char previousChar() {
    return index == 0 ? ' ' : sql.charAt(index - 1);
  }

  private char nextChar() {
    return index + 1 == sql.length() ? ' ' : sql.charAt(index + 1);
  }

  /** Whether a character outside of literals begins syntax that this scan does not handle. */
  private boolean isAmbiguous(char c) {
    return switch (c) {
      case '"' -> true;
      case '$' -> !isDigit(nextChar());
      case '-' -> nextChar() == '-';
      case '/' -> nextChar() == '*';
      case QUOTE -> isNamePart(previousChar()) || previousChar() == '&';
      default -> false;
    };
  }

  /** Skips a text literal with its doubled quotes; returns false when the literal has no end. */
  private boolean skipText() {
    index++;
    while (index < sql.length()) {
      boolean quote = sql.charAt(index) == QUOTE;
      index++;
      if (quote && (index == sql.length() || sql.charAt(index) != QUOTE)) {
        return true;
      }
      if (quote) {
        index++;
      }
    }
    return false;
  }

  private void skipDigits() {
    while (index < sql.length() && isDigit(sql.charAt(index))) {
      index++;
    }
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }

  private static boolean isNamePart(char c) {
    return Character.isLetterOrDigit(c) || c == '_' || c == '$' || c == QUOTE;
  }
}
