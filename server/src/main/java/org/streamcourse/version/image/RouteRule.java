package org.streamcourse.version.image;

/**
 * How the statements for one database name are served.
 *
 * @param database database name with which callers connect
 * @param service service that has the data
 * @param consistency commits that reads must observe
 * @param timeoutMillis time limit for one statement
 * @param targetLatencyMillis time within which an operation should complete
 * @param priority 0 is served first, then 1 and so on
 * @param attempts maximum number of members on which one statement may be tried
 * @param maxStalenessMillis maximum staleness of a read's result; 0 for no limit
 * @param needsKey whether callers must present a tenant's key
 */
public record RouteRule(
    String database,
    String service,
    RouteConsistency consistency,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int attempts,
    long maxStalenessMillis,
    boolean needsKey) {}
