package org.streamcourse.lab.workload;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.process.settings.HostPort;

/** Reads the metrics that a process serves in the Prometheus text format. */
public final class MetricsReader {
  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  private MetricsReader() {}

  /**
   * Reads all metrics once.
   *
   * @param address metrics address of the process
   * @return values by metric name including labels
   * @throws IOException when the process does not reply
   * @throws InterruptedException when the calling thread is interrupted
   */
  public static Map<String, Double> read(HostPort address)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/metrics")).build();
    String body = CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body();
    Map<String, Double> values = new TreeMap<>();
    body.lines().filter(line -> !line.startsWith("#")).forEach(line -> add(line, values));
    return values;
  }

  private static void add(String line, Map<String, Double> values) {
    int space = line.lastIndexOf(' ');
    if (space > 0) {
      values.put(line.substring(0, space), Double.parseDouble(line.substring(space + 1)));
    }
  }
}
