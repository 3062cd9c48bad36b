/**
 * A routing document with one service, one route of each kind, with the figures of ffcma-pool, and
 * one route whose database name tells the version.
 */
final class Document {
  private static final String LIMITS =
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
          + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}";

  private Document() {}

  static String of(long version, String service) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("dbprimary", "primary", 1_000, 400, 1, service) + ","
        + route("dbself", "self", 1_000, 800, 2, service) + ","
        + route("dbstale", "bounded_stale", 3_000, 1_000, 2, service) + ","
        + route("db" + version, "primary", 1_000, 400, 1, service)
        + "],\"services\":[" + service(service) + "]," + LIMITS + "}";
  }

  /**
   * A document with two services. "dbroyalty" has a route to the first one; once it has moved, that
   * route is removed and another one leads to the second. "dbcatalogue" reads from the second.
   */
  static String ofTwo(long version, String first, String second, boolean moved) {
    return "{\"version\":" + version + ",\"routes\":["
        + (moved
            ? route("royalty-2", "dbroyalty", "primary", 1_000, 400, 1, second)
            : route("royalty-1", "dbroyalty", "primary", 1_000, 400, 1, first))
        + ","
        + route("dbfirst", "primary", 1_000, 400, 1, first) + ","
        + route("dbsecond", "primary", 1_000, 400, 1, second) + ","
        + route("dbcatalogue", "bounded_stale", 3_000, 1_000, 2, second)
        + "],\"services\":[" + service(first) + "," + service(second) + "]," + LIMITS + "}";
  }

  private static String service(String name) {
    return "{\"name\":\"" + name
        + "\",\"health-path\":\"/health\",\"max-conns\":50,\"protocol\":\"h1\",\"tls\":false,"
        + "\"sync-replicas\":0}";
  }

  private static String route(
      String host, String type, int timeout, int target, int priority, String service) {
    return route(host, host, type, timeout, target, priority, service);
  }

  private static String route(
      String name, String host, String type, int timeout, int target, int priority, String service) {
    String staleness =
        type.equals("primary") ? "" : ",\"max-staleness-ms\":" + (type.equals("self") ? 2500 : 1500);
    return "{\"name\":\"r-" + name + "\",\"hostname\":\"" + host
        + "\",\"path-prefix\":\"/\",\"route-type\":\"" + type + "\",\"timeout-ms\":" + timeout
        + ",\"target-latency-ms\":" + target + ",\"priority\":" + priority
        + ",\"service\":\"" + service + "\",\"attempts\":2" + staleness + "}";
  }
}
