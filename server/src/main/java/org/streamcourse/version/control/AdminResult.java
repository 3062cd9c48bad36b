package org.streamcourse.version.control;

import java.util.List;

/**
 * Result of an operator's statement.
 *
 * @param columns column names, empty for a command
 * @param rows result rows, each value as text
 * @param tag command tag, such as {@code ALTER GROUP}
 * @param sqlState SQLSTATE of the error, empty on success
 * @param message error text or notice
 */
public record AdminResult(
    List<String> columns, List<List<String>> rows, String tag, String sqlState, String message) {
  /** Makes the lists unmodifiable. */
  public AdminResult {
    columns = List.copyOf(columns);
    rows = List.copyOf(rows);
  }

  /**
   * Creates an error.
   *
   * @param sqlState SQLSTATE of the error
   * @param message text for the operator
   * @return result
   */
  public static AdminResult error(String sqlState, String message) {
    return new AdminResult(List.of(), List.of(), "", sqlState, message);
  }
}
