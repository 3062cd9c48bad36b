package org.streamcourse.request.statement;

/**
 * Identifier that the caller gave to a statement. It is sent to the member with the statement and
 * contained in every log line about the statement.
 *
 * @param value text without blanks
 */
public record StatementId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
