package org.streamcourse.process;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.function.LongConsumer;
import org.streamcourse.connection.peer.LinkTraffic;
import org.streamcourse.connection.peer.PeerDistance;
import org.streamcourse.process.settings.HostPort;
import org.testng.annotations.Test;

/** Tests that gauges, counters and histograms are served as Prometheus text. */
public class MetricsEndpointTest {
  private static HostPort freeAddress() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new HostPort(loopback.getHostAddress(), socket.getLocalPort());
    }
  }

  @Test
  public void histogramsAreServedByOutcome() throws IOException, InterruptedException {
    MetricsEndpoint endpoint = new MetricsEndpoint();
    endpoint.gauge("streamcourse_sessions", "Sessions.", () -> 7);
    LongConsumer busy = endpoint.histogram("streamcourse_statement", "Times.", "outcome", "busy");
    busy.accept(40);
    busy.accept(400);
    LinkTraffic traffic = new LinkTraffic();
    endpoint.linkTraffic(traffic);
    traffic.sent(String.class, PeerDistance.OTHER_REGION, 12);
    HostPort address = freeAddress();
    endpoint.start(address);
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/metrics")).build();
      String text =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
      assertTrue(text.contains("streamcourse_sessions 7.0"), text);
      assertTrue(text.contains("streamcourse_statement_seconds_count{outcome=\"busy\"} 2"), text);
      assertTrue(text.contains("streamcourse_statement_seconds_bucket{outcome=\"busy\",le="), text);
      String labels = "_total{distance=\"other-region\",kind=\"String\"} ";
      assertTrue(text.contains("streamcourse_peer_sent_bytes" + labels + "12.0"), text);
      assertTrue(text.contains("streamcourse_peer_sent_messages" + labels + "1.0"), text);
    } finally {
      endpoint.stop();
    }
  }
}
