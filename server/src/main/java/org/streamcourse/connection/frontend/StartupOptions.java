package org.streamcourse.connection.frontend;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Session parameters of a caller's startup message, including those in {@code options}. */
final class StartupOptions {
  private static final Pattern OPTION = Pattern.compile("(?:-c\\s*|--)([\\w.]+)=((?:\\\\.|\\S)*)");
  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "user", "database", "options", "client_encoding", "replication", "TimeZone", "DateStyle");

  private StartupOptions() {}

  static Map<String, String> parse(Map<String, String> startup) {
    Map<String, String> parameters = new TreeMap<>();
    startup.forEach(
        (name, value) -> {
          if (!NOT_FORWARDED.contains(name) && !name.startsWith("_pq_.")) {
            parameters.put(name, quote(name, value));
          }
        });
    if (startup.containsKey("TimeZone")) {
      parameters.put("timezone", quote("timezone", startup.get("TimeZone")));
    }
    Matcher options = OPTION.matcher(startup.getOrDefault("options", ""));
    while (options.find()) {
      String value = options.group(2).replaceAll("\\\\(.)", "$1");
      parameters.put(options.group(1), quote(options.group(1), value));
    }
    return parameters;
  }

  private static String quote(String name, String value) {
    if (name.startsWith(SessionParameters.PROXY_PREFIX)) {
      return value;
    }
    return "'" + value.replace("'", "''") + "'";
  }
}
