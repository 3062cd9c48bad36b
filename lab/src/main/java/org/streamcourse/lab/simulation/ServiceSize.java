package org.streamcourse.lab.simulation;

/**
 * Size of a fleet and limits of its members.
 *
 * @param proxies number of statement proxies
 * @param maxConnections number of connections that each member accepts
 * @param synchronousReplicas replicas that must receive a commit before it is acknowledged
 * @param spareControllers controllers that are no voters
 */
public record ServiceSize(
    int proxies, int maxConnections, int synchronousReplicas, int spareControllers) {
  /** Enough connections for each proxy to hold its own to each member. */
  public static final ServiceSize DEFAULT = new ServiceSize(4, 36, 0);

  /** More proxies than connections, so that most proxies relay statements to other proxies. */
  public static final ServiceSize FEW_CONNECTIONS = new ServiceSize(12, 11, 0);

  /**
   * Creates a size whose controllers are all voters.
   *
   * @param proxies number of statement proxies
   * @param maxConnections number of connections that each member accepts
   * @param synchronousReplicas replicas that must receive a commit before it is acknowledged
   */
  public ServiceSize(int proxies, int maxConnections, int synchronousReplicas) {
    this(proxies, maxConnections, synchronousReplicas, 0);
  }

  /**
   * Returns this size with controllers that are no voters.
   *
   * @param count controllers besides the voters
   * @return changed size
   */
  public ServiceSize withSpareControllers(int count) {
    return new ServiceSize(proxies, maxConnections, synchronousReplicas, count);
  }

  /**
   * Returns this size with another number of synchronous replicas.
   *
   * @param count replicas that must receive a commit before it is acknowledged
   * @return changed size
   */
  public ServiceSize withSynchronousReplicas(int count) {
    return new ServiceSize(proxies, maxConnections, count, spareControllers);
  }
}
