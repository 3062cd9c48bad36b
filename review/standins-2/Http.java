package standins2;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** Calls over HTTP, and the platform's POST /promote. */
public final class Http {
  private Http() {}

  /** Sends a call; returns its status, or -1 without an answer. */
  public static int post(
      String address, String path, String body, Map<String, String> headers, int timeout) {
    try {
      HttpURLConnection call =
          (HttpURLConnection) new URL("http://" + address + path).openConnection();
      call.setConnectTimeout(timeout);
      call.setReadTimeout(timeout);
      call.setRequestMethod("POST");
      call.setDoOutput(true);
      call.setRequestProperty("Content-Type", "application/json");
      headers.forEach(call::setRequestProperty);
      call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
      int status = call.getResponseCode();
      call.disconnect();
      return status;
    } catch (IOException e) {
      return -1;
    }
  }

  public static int get(String address, String path, int timeout) {
    try {
      HttpURLConnection call =
          (HttpURLConnection) new URL("http://" + address + path).openConnection();
      call.setConnectTimeout(timeout);
      call.setReadTimeout(timeout);
      int status = call.getResponseCode();
      call.disconnect();
      return status;
    } catch (IOException e) {
      return -1;
    }
  }

  /** Starts the platform; returns its address. */
  public static String platform(String host, Group group, Log record) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 50);
    server.setExecutor(Executors.newCachedThreadPool(Member::daemon));
    server.createContext(
        "/promote",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          String id = body.replaceAll(".*\"id\"\\s*:\\s*\"([^\"]*)\".*", "$1");
          String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
          long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
          int status = group.promote(id, fence);
          record.line("PROMOTE " + id + " holder " + holder + " fence " + fence + ": " + status);
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    server.start();
    return host + ':' + server.getAddress().getPort();
  }
}
