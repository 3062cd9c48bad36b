package org.streamcourse.connection.session;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.Statement;

/** The values and prepared statements of one session, by name. */
final class SessionNames {
  /** Maximum number of values, and of prepared statements, of a session. */
  static final int MAX_NAMES = 1_024;

  private final Map<String, String> values = new LinkedHashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();

  /** Returns a live view of the values. */
  Map<String, String> values() {
    return values;
  }

  /** Returns the prepared statement of this name, or null. */
  PreparedShape prepared(String name) {
    return prepared.get(name);
  }

  /**
   * Runs a statement that only changes values or prepared statements; no member runs it.
   *
   * @param statement the statement
   * @param state state of the session, which stays the same
   * @return answer, or null for other statements
   */
  Answer run(Statement statement, SessionState state) {
    if (statement instanceof Statement.SetValue set) {
      return answer(put(values, set.name(), set.value()), state);
    }
    if (statement instanceof Statement.Prepare prepare) {
      return answer(put(prepared, prepare.name(), prepare.shape()), state);
    }
    if (statement instanceof Statement.Deallocate deallocate) {
      boolean known = prepared.remove(deallocate.name()) != null;
      return known ? Answer.local(state) : unknownName(deallocate.name(), state);
    }
    return null;
  }

  private static Answer answer(boolean done, SessionState state) {
    return done
        ? Answer.local(state)
        : Answer.error(
            AnswerCode.TOO_LARGE, "a session can have at most " + MAX_NAMES + " names", state);
  }

  /** Returns the answer to a statement with the name of no prepared statement. */
  static Answer unknownName(String name, SessionState state) {
    return Answer.error(AnswerCode.UNKNOWN_NAME, "no prepared statement " + name, state);
  }

  private static <V> boolean put(Map<String, V> table, String name, V value) {
    boolean room = table.size() < MAX_NAMES || table.containsKey(name);
    if (room) {
      table.put(name, value);
    }
    return room;
  }
}
