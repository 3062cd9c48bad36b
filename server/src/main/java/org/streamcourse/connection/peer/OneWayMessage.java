package org.streamcourse.connection.peer;

/**
 * A message that its receiver need not answer, such as an answer itself. Silence after it does not
 * show that the link is stuck.
 */
public interface OneWayMessage {}
