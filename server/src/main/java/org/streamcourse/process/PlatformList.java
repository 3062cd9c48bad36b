package org.streamcourse.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.settings.HostPort;
import reactor.core.Disposable;

/**
 * Polls the platform's list of machines, in the format of Prometheus HTTP service discovery: {@code
 * [{"targets": ["IP:PORT"], "labels": {"state": "leaving"}}]}. Machines in other states, and other
 * labels, are ignored. While the list can't be read, the last list stays in use.
 */
final class PlatformList {
  /** Path of the list at the platform's address. */
  static final String PATH = "/machines";

  private static final Logger LOG = LoggerFactory.getLogger(PlatformList.class);
  private static final long POLL_MILLIS = 500;
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;
  private static final String LEAVING = "leaving";

  private final ObjectMapper mapper = new ObjectMapper();
  private final Worker worker;
  private final Consumer<Set<String>> listener;
  private HttpClient client;
  private Disposable timer = () -> {};
  private boolean readable = true;

  /**
   * Whether a response is outstanding. Only one request is sent at a time, so that an older list
   * can't arrive after a newer one.
   */
  private boolean requestPending;

  /**
   * Creates a reader.
   *
   * @param worker worker on which the listener is called
   * @param listener receives the addresses of the machines in state "leaving" from each list
   */
  PlatformList(Worker worker, Consumer<Set<String>> listener) {
    this.worker = worker;
    this.listener = listener;
  }

  /** Starts to poll the list; does nothing if the address is null. */
  void start(HostPort address) {
    if (address == null) {
      return;
    }
    client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + PATH)).timeout(TIMEOUT).build();
    timer = worker.repeat(POLL_MILLIS, () -> poll(request));
  }

  void stop() {
    timer.dispose();
  }

  private void poll(HttpRequest request) {
    if (requestPending) {
      return;
    }
    requestPending = true;
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, failure) -> worker.execute(() -> handleResponse(response, failure)));
  }

  private void handleResponse(HttpResponse<String> response, Throwable failure) {
    requestPending = false;
    if (failure != null) {
      logFailure(failure.toString());
    } else if (response.statusCode() != OK) {
      logFailure("status " + response.statusCode());
    } else {
      read(response.body());
    }
  }

  private void read(String body) {
    try {
      Set<String> leaving = parse(mapper.readTree(body));
      readable = true;
      listener.accept(leaving);
    } catch (IOException e) {
      logFailure(e.getMessage());
    }
  }

  /**
   * Finds the machines in state "leaving".
   *
   * @param list list of machines
   * @return addresses of these machines
   * @throws IOException if the list has another format; the message names the entry
   */
  static Set<String> parse(JsonNode list) throws IOException {
    if (!list.isArray()) {
      throw new IOException("the list is not an array");
    }
    Set<String> leaving = new TreeSet<>();
    for (int i = 0; i < list.size(); i++) {
      JsonNode targets = list.get(i).path("targets");
      if (!targets.isArray()) {
        throw new IOException("entry " + i + ": 'targets' is not an array");
      }
      if (list.get(i).at("/labels/state").asText().equals(LEAVING)) {
        targets.forEach(target -> leaving.add(target.asText()));
      }
    }
    return leaving;
  }

  /** Logs the first of consecutive failures. */
  private void logFailure(String why) {
    if (readable) {
      readable = false;
      LOG.warn(
          "reading the platform's machine list failed; the last list read stays in use: {}", why);
    }
  }
}
