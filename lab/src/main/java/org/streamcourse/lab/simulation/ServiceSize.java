package org.streamcourse.lab.simulation;

/**
 * How large a fleet is, and what its members accept.
 *
 * @param proxies statement proxies
 * @param maxConnections connections that each member accepts
 * @param synchronousReplicas replicas that have received a commit before it is acknowledged
 */
public record ServiceSize(int proxies, int maxConnections, int synchronousReplicas) {
  /** Each proxy holds connections of its own to each member. */
  public static final ServiceSize DEFAULT = new ServiceSize(4, 36, 0);

  /** More proxies than connections, so that most proxies ask others. */
  public static final ServiceSize FEW_CONNECTIONS = new ServiceSize(12, 11, 0);

  /**
   * Changes the number of synchronous replicas.
   *
   * @param count replicas that have received a commit before it is acknowledged
   * @return changed size
   */
  public ServiceSize withSynchronousReplicas(int count) {
    return new ServiceSize(proxies, maxConnections, count);
  }
}
