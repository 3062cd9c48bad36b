package org.streamcourse.request.statement;

/**
 * One statement as a caller sent it.
 *
 * @param id identifier of the statement
 * @param text text of the statement, which is sent to members unchanged
 * @param statement the parsed statement
 */
public record StatementRequest(StatementId id, String text, Statement statement) {}
