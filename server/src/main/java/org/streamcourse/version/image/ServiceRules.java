package org.streamcourse.version.image;

/**
 * Operators' rules for a service.
 *
 * @param name service's name
 * @param maxConnections number of connections that each member accepts in total
 * @param synchronousReplicas number of replicas that must receive a commit before it is
 *     acknowledged
 */
public record ServiceRules(String name, int maxConnections, int synchronousReplicas) {}
