/**
 * A routing document with one service, one route of each kind, with the figures of ffcma-pool, and
 * one route whose database name tells the version.
 */
final class Document {
  private Document() {}

  static String of(long version, String service) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("dbprimary", "primary", 1_000, 400, 1, service) + ","
        + route("dbself", "self", 1_000, 800, 2, service) + ","
        + route("dbstale", "bounded_stale", 3_000, 1_000, 2, service) + ","
        + route("db" + version, "primary", 1_000, 400, 1, service)
        + "],\"services\":[{\"name\":\"" + service
        + "\",\"health-path\":\"/health\",\"max-conns\":50,\"protocol\":\"h1\",\"tls\":false,"
        + "\"sync-replicas\":0}],\"limits\":{\"max-header-bytes\":16384,"
        + "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
        + "\"tx-idle-ms\":3000}}";
  }

  private static String route(
      String host, String type, int timeout, int target, int priority, String service) {
    String staleness =
        type.equals("primary") ? "" : ",\"max-staleness-ms\":" + (type.equals("self") ? 2500 : 1500);
    return "{\"name\":\"r-" + host + "\",\"hostname\":\"" + host
        + "\",\"path-prefix\":\"/\",\"route-type\":\"" + type + "\",\"timeout-ms\":" + timeout
        + ",\"target-latency-ms\":" + target + ",\"priority\":" + priority
        + ",\"service\":\"" + service + "\",\"attempts\":2" + staleness + "}";
  }
}
