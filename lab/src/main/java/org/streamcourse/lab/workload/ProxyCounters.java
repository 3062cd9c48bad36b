package org.streamcourse.lab.workload;

import org.streamcourse.lab.fleet.Fleet;

/** Sums counters over the metrics of all proxies. */
public final class ProxyCounters {
  /** Counter of reads that replicas answered. */
  public static final String REPLICA_READS = "streamcourse_replica_reads";

  /** Counter of reads that primaries answered. */
  public static final String PRIMARY_READS = "streamcourse_primary_reads";

  private ProxyCounters() {}

  /**
   * Sums a metric over all running proxies.
   *
   * @param fleet the fleet
   * @param metric metric's name
   * @return sum
   * @throws Exception when a running proxy does not reply
   */
  public static long sum(Fleet fleet, String metric) throws Exception {
    double sum = 0;
    for (Fleet.ProxyHandle proxy : fleet.proxies()) {
      if (proxy.process().isAlive()) {
        sum += MetricsReader.read(proxy.metrics()).getOrDefault(metric, 0.0);
      }
    }
    return (long) sum;
  }
}
