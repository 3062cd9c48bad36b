package standins2;

/** Configurations like those of the ccbc-shared deployment. */
public final class Documents {
  private Documents() {}

  public static String of(long version, String service, int maxConnections, int syncReplicas) {
    return "{\"version\":" + version + ",\"routes\":["
        + "{\"name\":\"r-a\",\"hostname\":\"bookings\",\"path-prefix\":\"/\","
        + "\"route-type\":\"primary\",\"timeout-ms\":1000,\"target-latency-ms\":600,"
        + "\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2},"
        + "{\"name\":\"r-b\",\"hostname\":\"guide\",\"path-prefix\":\"/\","
        + "\"route-type\":\"bounded_stale\",\"timeout-ms\":2000,\"target-latency-ms\":1000,"
        + "\"priority\":2,\"service\":\"" + service + "\",\"attempts\":2,"
        + "\"max-staleness-ms\":1500},"
        + "{\"name\":\"r-c\",\"hostname\":\"pulls\",\"path-prefix\":\"/\","
        + "\"route-type\":\"self\",\"timeout-ms\":1000,\"target-latency-ms\":1000,"
        + "\"priority\":2,\"service\":\"" + service + "\",\"attempts\":2,"
        + "\"max-staleness-ms\":2500}],"
        + "\"services\":[{\"name\":\"" + service + "\",\"health-path\":\"/health\","
        + "\"max-conns\":" + maxConnections + ",\"protocol\":\"h1\",\"tls\":false,"
        + "\"sync-replicas\":" + syncReplicas + "}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}}";
  }
}
