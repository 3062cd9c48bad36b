package org.streamcourse.lab.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text of a statement: its classification by keyword and its translation for H2. */
final class SqlText {
  private static final String ISOLATION = "read committed";
  private static final Set<String> READS =
      Set.of("SELECT", "VALUES", "WITH", "SHOW", "EXPLAIN", "TABLE");
  private static final Set<String> SESSION =
      Set.of("SET", "RESET", "DISCARD", "LISTEN", "UNLISTEN", "DEALLOCATE");
  private static final Set<String> ENDS = Set.of("COMMIT", "END", "ROLLBACK", "ABORT");
  private static final Set<String> DEFINITIONS =
      Set.of("CREATE", "DROP", "ALTER", "TRUNCATE", "COMMENT", "GRANT");
  private static final Pattern LOCKING =
      Pattern.compile("\\bFOR\\s+(UPDATE|SHARE)\\b", Pattern.CASE_INSENSITIVE);
  private static final Pattern RETURNING =
      Pattern.compile(
          "\\s*((?:INSERT|UPDATE|DELETE)\\b.*)\\bRETURNING\\s+(.+)",
          Pattern.CASE_INSENSITIVE | Pattern.DOTALL);
  private static final Pattern INSERT =
      Pattern.compile("\\s*INSERT\\s+INTO\\s+([\\w.\"]+)", Pattern.CASE_INSENSITIVE);
  private static final Pattern NUMBERED = Pattern.compile("\\$(\\d+)");

  private final String sql;
  private final String keyword;

  SqlText(String sql) {
    this.sql = sql.strip();
    this.keyword = this.sql.split("[\\s(;]", 2)[0].toUpperCase(Locale.ROOT);
  }

  String sql() {
    return sql;
  }

  String keyword() {
    return keyword;
  }

  boolean isEmpty() {
    return sql.isEmpty();
  }

  boolean isRead() {
    return READS.contains(keyword) && !LOCKING.matcher(sql).find();
  }

  boolean isSession() {
    return SESSION.contains(keyword);
  }

  boolean isBegin() {
    return keyword.equals("BEGIN") || keyword.equals("START");
  }

  boolean isEnd() {
    boolean toSavepoint = sql.toUpperCase(Locale.ROOT).matches("ROLLBACK\\s+TO\\b.*");
    return ENDS.contains(keyword) && !toSavepoint;
  }

  boolean isCommit() {
    return keyword.equals("COMMIT") || keyword.equals("END");
  }

  boolean isDefinition() {
    return DEFINITIONS.contains(keyword);
  }

  /** Whether the statement changes data or definitions and must be written to the log. */
  boolean isLogged() {
    return !isRead()
        && !READS.contains(keyword)
        && !keyword.equals("SAVEPOINT")
        && !keyword.equals("RELEASE")
        && !keyword.equals("ROLLBACK");
  }

  /** Table of an INSERT, or null. */
  String insertTable() {
    Matcher insert = INSERT.matcher(sql);
    return insert.lookingAt() ? insert.group(1) : null;
  }

  /** Text for H2, which supports neither RETURNING nor parameters of the form {@code $1}. */
  String toH2() {
    String text = NUMBERED.matcher(sql).replaceAll("?$1");
    Matcher returning = RETURNING.matcher(text);
    if (!returning.matches()) {
      return text;
    }
    String table = keyword.equals("DELETE") ? "OLD" : "FINAL";
    return "SELECT "
        + returning.group(2)
        + " FROM "
        + table
        + " TABLE ("
        + returning.group(1)
        + ")";
  }

  /** Splits a text at semicolons outside of quotes. */
  static List<SqlText> split(String text) {
    List<SqlText> statements = new ArrayList<>();
    int start = 0;
    char quote = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (quote != 0) {
        quote = c == quote ? 0 : quote;
      } else if (c == '\'' || c == '"') {
        quote = c;
      } else if (c == ';') {
        statements.add(new SqlText(text.substring(start, i)));
        start = i + 1;
      }
    }
    statements.add(new SqlText(text.substring(start)));
    statements.removeIf(SqlText::isEmpty);
    return statements;
  }

  /** Value that a SHOW statement returns; empty for parameters that the stand-in does not store. */
  String shownValue() {
    String parameter = sql.toLowerCase(java.util.Locale.ROOT);
    return parameter.contains("isolation") ? ISOLATION : "";
  }
}
