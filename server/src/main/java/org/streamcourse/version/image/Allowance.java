package org.streamcourse.version.image;

/**
 * The share of a member's limits that one gateway may use.
 *
 * @param node name of the gateway's node
 * @param connections maximum number of pooled connections
 * @param slots maximum number of running statements
 */
public record Allowance(String node, int connections, int slots) {}
