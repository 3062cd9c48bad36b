package org.streamcourse.request.statement;

/**
 * Text of a prepared statement.
 *
 * @param write whether the statement writes when it is executed
 * @param shape statement text without its arguments
 */
public record PreparedShape(boolean write, String shape) {}
