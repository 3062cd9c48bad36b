package org.streamcourse.connection.peer;

/**
 * Address at which a process accepts peer links.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {}
