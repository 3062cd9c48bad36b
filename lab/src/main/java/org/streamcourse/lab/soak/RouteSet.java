package org.streamcourse.lab.soak;

import java.util.List;

/**
 * One route, or all routes that begin or end at one process.
 *
 * @param name name of the route or process
 * @param ofProcess whether the name is that of a process
 */
record RouteSet(String name, boolean ofProcess) {
  private static final String ARROW = "->";

  /** Returns whether a route, named as in {@code Fleet.setCut}, belongs to this set. */
  boolean contains(String route) {
    return ofProcess ? endsOf(route).contains(name) : name.equals(route);
  }

  /** Returns the names of the processes at the ends of a route; callers are not included. */
  static List<String> endsOf(String route) {
    int arrow = route.indexOf(ARROW);
    String to = route.substring(arrow + ARROW.length());
    int colon = route.indexOf(':');
    if (colon < 0) {
      return List.of(to);
    }
    String from = route.substring(colon + 1, arrow);
    if (route.startsWith("log:")) {
      to = from.substring(0, from.indexOf('/') + 1) + to;
    }
    return List.of(processName(from), processName(to));
  }

  private static String processName(String end) {
    return end.replace('/', '-');
  }
}
