package org.streamcourse.request.statement;

/** A statement of a caller. */
public sealed interface Statement {
  /**
   * Begins a transaction.
   *
   * @param readOnly whether the transaction only reads
   */
  record Begin(boolean readOnly) implements Statement {}

  /** Ends the transaction and keeps its writes. */
  record Commit() implements Statement {}

  /** Ends the transaction and discards its writes. */
  record Rollback() implements Statement {}

  /** Reads. */
  record Read() implements Statement {}

  /** Writes. */
  record Write() implements Statement {}

  /**
   * Sets a session setting.
   *
   * @param name name of the setting
   * @param value new value
   */
  record SetValue(String name, String value) implements Statement {}

  /**
   * Prepares a statement for the session.
   *
   * @param name name chosen by the caller
   * @param shape the prepared statement
   */
  record Prepare(String name, PreparedShape shape) implements Statement {}

  /**
   * Executes a prepared statement.
   *
   * @param name name chosen by the caller
   * @param arguments the rest of the text, unchanged
   */
  record Execute(String name, String arguments) implements Statement {}

  /**
   * Deletes a prepared statement.
   *
   * @param name name chosen by the caller
   */
  record Deallocate(String name) implements Statement {}

  /**
   * A text that is not a valid statement.
   *
   * @param why description of the error
   */
  record Malformed(String why) implements Statement {}
}
