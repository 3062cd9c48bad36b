package org.streamcourse.connection.frontend;

import java.util.Map;

/**
 * Settings of callers' connections.
 *
 * @param loginTimeoutMillis time within which a caller must complete the login
 * @param maxFrameBytes maximum size of a message, and of an extended-protocol request, of a caller
 * @param maxQueuedBytes bytes of queued messages above which reading from a caller pauses
 * @param floorTimeoutMillis time within which the floor of a session's first read must be
 *     determined from a majority of the group
 * @param users password verifiers by user name
 */
public record FrontendSettings(
    long loginTimeoutMillis,
    int maxFrameBytes,
    int maxQueuedBytes,
    long floorTimeoutMillis,
    Map<String, ScramVerifier> users) {
  /** Maximum size of a startup message. */
  public static final int MAX_STARTUP_BYTES = 10_000;
}
