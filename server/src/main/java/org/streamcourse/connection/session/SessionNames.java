package org.streamcourse.connection.session;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.streamcourse.request.statement.PreparedShape;

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

  /** Sets a value; returns false when the session has too many. */
  boolean set(String name, String value) {
    return put(values, name, value);
  }

  /** Prepares a statement; returns false when the session has too many. */
  boolean prepare(String name, PreparedShape shape) {
    return put(prepared, name, shape);
  }

  private static <V> boolean put(Map<String, V> table, String name, V value) {
    boolean room = table.size() < MAX_NAMES || table.containsKey(name);
    if (room) {
      table.put(name, value);
    }
    return room;
  }

  /** Removes a prepared statement; returns whether it existed. */
  boolean deallocate(String name) {
    return prepared.remove(name) != null;
  }
}
