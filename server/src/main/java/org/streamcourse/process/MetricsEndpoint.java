package org.streamcourse.process;

import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.streamcourse.connection.peer.LinkTraffic;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.process.settings.HostPort;

/** Serves the process's metrics as Prometheus text at {@code /metrics}. */
public final class MetricsEndpoint {
  private static final int HTTP_OK = 200;

  /** Labels of peer link traffic. */
  private static final String KIND = "kind";

  private static final String DISTANCE = "distance";

  /** Range of the histograms' buckets. */
  private static final Duration SHORTEST = Duration.ofMillis(1);

  private static final Duration LONGEST = Duration.ofSeconds(10);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private HttpServer server;

  /** Creates an endpoint with the metrics of the Java process. */
  public MetricsEndpoint() {
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
  }

  /**
   * Adds a gauge, which is read at each scrape.
   *
   * @param name metric's name
   * @param help description of the metric
   * @param value supplies the value
   */
  public void gauge(String name, String help, Supplier<Number> value) {
    Gauge.builder(name, value).description(help).register(registry);
  }

  /**
   * Adds the gauges {@code NAME_bytes} and {@code NAME_limit_bytes} of something kept in memory.
   *
   * @param name beginning of the metrics' names
   * @param what what is kept
   * @param limit its limit in bytes
   * @param value supplies its present size in bytes
   */
  public void limitedBytes(String name, String what, long limit, Supplier<Number> value) {
    gauge(name + "_bytes", what + ", in bytes.", value);
    gauge(name + "_limit_bytes", what + ": limit in bytes.", () -> limit);
  }

  /**
   * Adds the metrics of the links to other processes.
   *
   * @param network links of this process
   */
  public void peerNetwork(TcpPeerNetwork network) {
    limitedBytes(
        "streamcourse_peer_unsent",
        "Messages that peers have not taken",
        MemoryLimits.ofThisProcess().unsentBytes(),
        network::unsentBytes);
    linkTraffic(network.traffic());
  }

  /**
   * Adds counters of traffic on peer links, by message kind and distance.
   *
   * @param traffic traffic counters
   */
  public void linkTraffic(LinkTraffic traffic) {
    traffic.onNewCounter(this::linkCounter);
    traffic.forEach(this::linkCounter);
  }

  private void linkCounter(LinkTraffic.Counter counter) {
    FunctionCounter.builder("streamcourse_peer_sent_bytes", counter, each -> (double) each.bytes())
        .description("Bytes written to peer links, after compression.")
        .tags(KIND, counter.kind(), DISTANCE, counter.distance().label())
        .register(registry);
    FunctionCounter.builder(
            "streamcourse_peer_sent_messages", counter, each -> (double) each.messages())
        .description("Messages written to peer links.")
        .tags(KIND, counter.kind(), DISTANCE, counter.distance().label())
        .register(registry);
  }

  /**
   * Adds a histogram of durations.
   *
   * @param name metric's name, without its unit
   * @param help description of the metric
   * @param tag name of a label
   * @param value the label's value
   * @return recorder for durations in milliseconds
   */
  public LongConsumer histogram(String name, String help, String tag, String value) {
    Timer timer =
        Timer.builder(name)
            .description(help)
            .tag(tag, value)
            .publishPercentileHistogram()
            .minimumExpectedValue(SHORTEST)
            .maximumExpectedValue(LONGEST)
            .register(registry);
    return millis -> timer.record(millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Starts the HTTP server.
   *
   * @param address address to bind, or null to start no server
   */
  public void start(HostPort address) {
    if (address == null) {
      return;
    }
    try {
      server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), 0);
    } catch (IOException e) {
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS, "bind-metrics", address.toString(), e.toString(), 0, e);
    }
    server.createContext(
        "/metrics",
        exchange -> {
          byte[] body = registry.scrape().getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().set("Content-Type", "text/plain; version=0.0.4");
          exchange.sendResponseHeaders(HTTP_OK, body.length);
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
          }
        });
    server.start();
  }

  /** Stops the HTTP server. */
  public void stop() {
    if (server != null) {
      server.stop(0);
    }
  }
}
