package org.streamcourse.request.edge;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.sf.jsqlparser.parser.CCJSqlParser;
import net.sf.jsqlparser.parser.CCJSqlParserUtil;
import net.sf.jsqlparser.statement.Statement;
import net.sf.jsqlparser.statement.Statements;
import net.sf.jsqlparser.statement.delete.Delete;
import net.sf.jsqlparser.statement.insert.Insert;
import net.sf.jsqlparser.statement.select.Select;
import net.sf.jsqlparser.statement.update.Update;
import org.streamcourse.request.edge.StatementClass.Kind;

/**
 * Classifies statements with a SQL parser; results are cached by the text without its literals. A
 * statement that is not provably a plain read counts as a write, for example one with an unknown
 * function or a locking clause, or a text that the parser rejects.
 */
public final class StatementClassifier {
  private static final int CACHED_TEXTS = 20_000;
  private static final int MAX_PARSED_CHARACTERS = 100_000;
  private static final String PROXY_PARAMETER_PREFIX = "STREAMCOURSE.";
  private static final Pattern CALL = Pattern.compile("\"?([A-Za-z_][\\w$.]*)\"?\\s*\\(");
  private static final Pattern WRITE_KEYWORDS =
      Pattern.compile(
          "\\b(INSERT|UPDATE|DELETE|MERGE|INTO|FOR\\s+(UPDATE|SHARE|NO\\s+KEY|KEY))\\b",
          Pattern.CASE_INSENSITIVE);
  private static final Pattern READ_ONLY =
      Pattern.compile("\\bREAD\\s+ONLY\\b", Pattern.CASE_INSENSITIVE);

  /** Functions, and keywords before a parenthesis, that neither write nor use session state. */
  private static final Set<String> SAFE_CALLS =
      Set.of(
          ("abs all and any array array_agg as avg between bool_and bool_or btrim by case cast ceil"
                  + " ceiling char_length chr coalesce concat concat_ws count date_part date_trunc"
                  + " decode dense_rank distinct div else encode every exists exp extract"
                  + " first_value floor format from generate_series greatest group in initcap is"
                  + " join lag last_value lateral lead least left length like limit ln log lower"
                  + " lpad ltrim max md5 min mod not ntile nullif offset on or order over"
                  + " overlay partition position power rank regexp_replace repeat replace"
                  + " reverse right round row row_number rpad rtrim select sign some split_part"
                  + " sqrt stddev string_agg strpos substr substring sum then to_char to_date"
                  + " to_number to_timestamp translate trim trunc union unnest upper using values"
                  + " variance when where with numeric decimal varchar char character timestamp"
                  + " time interval cume_dist percent_rank filter within recursive except intersect")
              .split(" "));

  private final Cache<String, StatementClass> cache =
      Caffeine.newBuilder().maximumSize(CACHED_TEXTS).build();

  /**
   * Classifies a text of one or more statements.
   *
   * @param sql one or more statements
   * @return class of the whole text
   */
  public StatementClass classify(String sql) {
    return cache.get(LiteralMask.mask(sql), StatementClassifier::classifyText);
  }

  private static StatementClass classifyText(String sql) {
    String text = sql.strip();
    while (text.endsWith(";")) {
      text = text.substring(0, text.length() - 1).strip();
    }
    if (text.isEmpty()) {
      return new StatementClass(Kind.EMPTY, false, false);
    }
    if (text.indexOf(';') < 0) {
      StatementClass simple = classifyByKeyword(text);
      if (simple != null) {
        return simple;
      }
    }
    return text.length() > MAX_PARSED_CHARACTERS ? StatementClass.UNKNOWN : parse(text);
  }

  private static StatementClass classifyByKeyword(String text) {
    String[] words = text.split("\\s+", 3);
    String first = words[0].toUpperCase(Locale.ROOT);
    String second = words.length > 1 ? words[1].toUpperCase(Locale.ROOT) : "";
    return switch (first) {
      case "BEGIN" -> begin(text);
      case "START" -> second.equals("TRANSACTION") ? begin(text) : StatementClass.UNKNOWN;
      case "COMMIT", "END", "ROLLBACK", "ABORT" ->
          second.equals("TO") ? StatementClass.WRITE : new StatementClass(Kind.END, false, true);
      case "SAVEPOINT", "RELEASE" -> StatementClass.WRITE;
      case "SET", "RESET" ->
          second.equals("LOCAL") || second.equals("TRANSACTION")
              ? StatementClass.WRITE
              : new StatementClass(Kind.SET, false, false);
      case "SHOW" ->
          second.startsWith(PROXY_PARAMETER_PREFIX)
              ? new StatementClass(Kind.SHOW_OWN, false, false)
              : StatementClass.READ;
      case "CREATE", "DROP", "ALTER", "TRUNCATE" ->
          new StatementClass(
              Kind.WRITE, second.startsWith("TEMP") || second.equals("LOCAL"), false);
      case "LISTEN", "UNLISTEN", "PREPARE", "DECLARE", "DISCARD", "DEALLOCATE" ->
          StatementClass.UNKNOWN;
      default -> null;
    };
  }

  private static StatementClass begin(String text) {
    boolean readOnly = READ_ONLY.matcher(text).find();
    return new StatementClass(readOnly ? Kind.BEGIN_READ_ONLY : Kind.BEGIN, false, false);
  }

  private static StatementClass parse(String text) {
    try {
      CCJSqlParser parser = CCJSqlParserUtil.newParser(text);
      Statements statements = parser.Statements();
      return statements.stream()
          .map(StatementClassifier::classifyParsed)
          .reduce(StatementClassifier::merge)
          .orElse(StatementClass.UNKNOWN);
    } catch (Exception | StackOverflowError e) {
      // The parser does not cover every dialect, so the primary runs the text.
      return StatementClass.UNKNOWN;
    }
  }

  private static StatementClass classifyParsed(Statement statement) {
    if (statement instanceof Select) {
      return isPlainRead(statement.toString()) ? StatementClass.READ : writeClass(statement);
    }
    boolean plainWrite =
        statement instanceof Insert || statement instanceof Update || statement instanceof Delete;
    return plainWrite ? writeClass(statement) : StatementClass.UNKNOWN;
  }

  /** Class of a write; advisory locks and set_config leave state in the member's session. */
  private static StatementClass writeClass(Statement statement) {
    String text = statement.toString().toLowerCase(Locale.ROOT);
    boolean sessionState = text.contains("advisory") || text.contains("set_config");
    return new StatementClass(Kind.WRITE, sessionState, false);
  }

  private static boolean isPlainRead(String deparsed) {
    if (WRITE_KEYWORDS.matcher(deparsed).find()) {
      return false;
    }
    Matcher calls = CALL.matcher(deparsed);
    while (calls.find()) {
      if (!SAFE_CALLS.contains(calls.group(1).toLowerCase(Locale.ROOT))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Classifies several statements that run as one request.
   *
   * @param classes classes of the statements, in order
   * @return class of the whole request
   */
  public static StatementClass combine(List<StatementClass> classes) {
    return classes.stream()
        .reduce(StatementClassifier::merge)
        .orElse(new StatementClass(Kind.EMPTY, false, false));
  }

  private static StatementClass merge(StatementClass a, StatementClass b) {
    boolean changesSession = a.changesSession() || b.changesSession();
    boolean ends = a.endsTransaction() || b.endsTransaction();
    if (a.kind() == Kind.EMPTY || b.kind() == Kind.EMPTY) {
      return new StatementClass(a.kind() == Kind.EMPTY ? b.kind() : a.kind(), changesSession, ends);
    }
    if (isRead(a.kind()) && isRead(b.kind())) {
      Kind kind = a.kind().compareTo(b.kind()) >= 0 ? a.kind() : b.kind();
      return new StatementClass(kind, changesSession, ends);
    }
    boolean set = a.kind() == Kind.SET || b.kind() == Kind.SET;
    return new StatementClass(Kind.WRITE, changesSession || set, ends);
  }

  private static boolean isRead(Kind kind) {
    return kind == Kind.READ || kind == Kind.BEGIN_READ_ONLY;
  }
}
