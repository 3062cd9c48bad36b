package org.streamcourse.connection.frontend;

import java.util.HashMap;
import java.util.Map;
import org.streamcourse.request.edge.StatementClass;

/** A session's prepared statements, held at the edge and never at a member. */
final class PreparedStatements {
  /**
   * One statement.
   *
   * @param sql text of the statement
   * @param afterName body of the Parse message after the statement's name
   * @param statementClass class of the statement
   */
  record Prepared(String sql, byte[] afterName, StatementClass statementClass) {}

  private final Map<String, Prepared> statements = new HashMap<>();

  void put(String name, Prepared prepared) {
    statements.put(name, prepared);
  }

  Prepared get(String name) {
    return statements.get(name);
  }

  void remove(String name) {
    statements.remove(name);
  }

  void clear() {
    statements.clear();
  }
}
