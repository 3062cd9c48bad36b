package org.streamcourse.connection.peer;

/**
 * A message that its receiver need not answer, such as an answer itself. When nothing arrives after
 * such a message, the link is not taken for broken.
 */
public interface OneWayMessage {}
