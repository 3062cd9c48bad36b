package org.streamcourse.lab.member;

import java.util.List;

/**
 * A write statement as stored in the log.
 *
 * @param sql text of the statement in the dialect of H2
 * @param parameters parameter values in order
 * @param generatedKey first key that the primary generated for an INSERT, or null
 */
public record LoggedStatement(String sql, List<Object> parameters, GeneratedKey generatedKey) {
  /**
   * First key that the primary generated for an INSERT.
   *
   * @param table name of the table
   * @param column name of the column
   * @param value generated key
   */
  public record GeneratedKey(String table, String column, long value) {}
}
