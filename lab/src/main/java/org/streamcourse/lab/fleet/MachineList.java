package org.streamcourse.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import org.streamcourse.process.settings.HostPort;

/**
 * Stub of the platform's list of machines, served in the format of Prometheus' HTTP service
 * discovery.
 */
public final class MachineList {
  private static final int OK = 200;

  private final HttpServer server;
  private volatile Set<String> leaving = Set.of();

  /**
   * Starts to serve an empty list.
   *
   * @param address listen address
   * @throws IOException when the address can't be bound
   */
  public MachineList(HostPort address) throws IOException {
    server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), 0);
    server.createContext("/machines", this::answer);
    server.start();
  }

  /**
   * Replaces the list.
   *
   * @param addresses machines to report as leaving, as {@code IP:PORT}
   */
  public void setLeaving(Set<String> addresses) {
    leaving = Set.copyOf(addresses);
  }

  /** Stops serving. */
  public void close() {
    server.stop(0);
  }

  private void answer(HttpExchange exchange) throws IOException {
    ArrayNode list = new ObjectMapper().createArrayNode();
    ObjectNode entry = list.addObject();
    ArrayNode targets = entry.putArray("targets");
    leaving.forEach(targets::add);
    entry.putObject("labels").put("state", "leaving");
    byte[] body = new ObjectMapper().writeValueAsBytes(list);
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    exchange.sendResponseHeaders(OK, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
