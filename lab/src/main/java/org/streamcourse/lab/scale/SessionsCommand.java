package org.streamcourse.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the heap that a proxy uses for each idle session of a caller, by a fit to the live heap
 * at several numbers of sessions.
 */
@Command(
    name = "sessions",
    mixinStandardHelpOptions = true,
    description = "Measures the live heap of a proxy per idle session.")
public final class SessionsCommand implements Callable<Integer> {
  /**
   * Last line of the class histogram, which runs a full collection and counts only live objects.
   */
  private static final Pattern TOTAL = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)");

  private static final Pattern RESIDENT = Pattern.compile("(?m)^VmRSS:\\s+(\\d+) kB");
  private static final long KILOBYTE = 1_024;

  @Option(
      names = "--counts",
      split = ",",
      defaultValue = "0,500,1000,2000,3000,4000",
      description = "Numbers of sessions to measure at, ascending.")
  private List<Integer> counts;

  /** Memory use of a proxy at one number of sessions. */
  private record Point(int sessions, long heapBytes, long residentBytes) {}

  @Override
  public Integer call() throws Exception {
    Path folder = Files.createTempDirectory("streamcourse-sessions");
    Fleet.Options options = new Fleet.Options("nearest-fresh", Map.of(), false);
    List<Connection> sessions = new ArrayList<>();
    List<Point> points = new ArrayList<>();
    try (Fleet fleet = new Fleet(Profile.ASSOCIATION, folder, options)) {
      fleet.start();
      // Warm-up: classes loaded and code compiled for the first sessions are not a cost per
      // session.
      openUpTo(50, fleet, sessions);
      closeAll(sessions);
      for (int count : counts) {
        openUpTo(count, fleet, sessions);
        points.add(measure(count, fleet.proxies().get(0).process().pid()));
      }
      closeAll(sessions);
    }
    report(points);
    return 0;
  }

  private static void openUpTo(int count, Fleet fleet, List<Connection> sessions)
      throws SQLException {
    String database = fleet.profile().databases().get(0);
    while (sessions.size() < count) {
      Connection session = Fleet.connect(fleet.proxies().get(0).direct(), database, "");
      sessions.add(session);
      try (Statement statement = session.createStatement();
          ResultSet rows = statement.executeQuery("SELECT 1")) {
        rows.next();
      }
    }
  }

  private static void closeAll(List<Connection> sessions) throws SQLException {
    for (Connection session : sessions) {
      session.close();
    }
    sessions.clear();
  }

  private static Point measure(int count, long pid) throws IOException {
    String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process histogram =
        new ProcessBuilder(tool, Long.toString(pid), "GC.class_histogram")
            .redirectErrorStream(true)
            .start();
    String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String status = Files.readString(Path.of("/proc/" + pid + "/status"));
    return new Point(count, number(TOTAL, text), number(RESIDENT, status) * KILOBYTE);
  }

  private static long number(Pattern pattern, String text) throws IOException {
    Matcher matcher = pattern.matcher(text);
    if (!matcher.find()) {
      throw new IOException(
          "pattern "
              + pattern
              + " not found in output that starts with: "
              + text.lines().findFirst().orElse(""));
    }
    return Long.parseLong(matcher.group(1));
  }

  private static void report(List<Point> points) {
    ObjectNode json = new ObjectMapper().createObjectNode();
    SimpleRegression heap = new SimpleRegression();
    ArrayNode list = json.putArray("points");
    for (Point point : points) {
      heap.addData(point.sessions(), point.heapBytes());
      list.addObject()
          .put("sessions", point.sessions())
          .put("live_heap_bytes", point.heapBytes())
          .put("resident_bytes", point.residentBytes());
    }
    json.put("heap_bytes_per_session", heap.getSlope());
    json.put("heap_bytes_per_session_error", heap.getSlopeStdErr());
    json.put("heap_bytes_fixed", heap.getIntercept());
    System.out.println(json);
  }
}
