package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.List;

/** Versions of a routing document with many routes, whose source is JSON as operators send it. */
public final class LargeDocument {
  private static final int FIRST_TIMEOUT = 1_000;

  private final List<Integer> timeouts = new ArrayList<>();
  private long version;

  /**
   * Creates a document.
   *
   * @param routes number of routes
   */
  public LargeDocument(int routes) {
    for (int i = 0; i < routes; i++) {
      timeouts.add(FIRST_TIMEOUT);
    }
  }

  /** Makes the next version, in which the time limit of one route is another. */
  public RoutingDocument changeRoute(int route) {
    timeouts.set(route, timeouts.get(route) + 1);
    return next();
  }

  /** Makes the next version, in which the time limits of all routes are others. */
  public RoutingDocument changeAllRoutes() {
    timeouts.replaceAll(timeout -> timeout + 1);
    return next();
  }

  /** Makes the next version, which has one route more. */
  public RoutingDocument addRoute() {
    timeouts.add(FIRST_TIMEOUT);
    return next();
  }

  private RoutingDocument next() {
    version++;
    List<RouteRule> routes = new ArrayList<>();
    StringBuilder source = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
    for (int i = 0; i < timeouts.size(); i++) {
      RouteRule route =
          new RouteRule(
              "database" + Integer.toHexString(i * 0x9E3779B9),
              "service",
              RouteConsistency.SESSION,
              timeouts.get(i),
              800,
              1,
              2,
              1_500,
              false);
      routes.add(route);
      source.append(i == 0 ? "" : ",").append(json(route));
    }
    source.append("],\"services\":[{\"name\":\"service\",\"max-conns\":60}]}");
    return new RoutingDocument(
        version,
        routes,
        List.of(new ServiceRules("service", 60, 0)),
        SessionLimits.DEFAULT,
        List.of(),
        source.toString());
  }

  private static String json(RouteRule route) {
    return "{\"name\":\"r-"
        + route.database()
        + "\",\"hostname\":\""
        + route.database()
        + "\",\"path-prefix\":\"/\",\"route-type\":\"self\",\"timeout-ms\":"
        + route.timeoutMillis()
        + ",\"target-latency-ms\":800,\"priority\":1,\"service\":\"service\",\"attempts\":2,"
        + "\"max-staleness-ms\":1500}";
  }
}
