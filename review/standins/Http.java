import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls over HTTP with a time-out of a second, as callers of the control interface make them. */
final class Http {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  /** Result of a call; the status is 0 when there was no answer. */
  static final class Result {
    final int status;
    final String body;

    Result(int status, String body) {
      this.status = status;
      this.body = body;
    }
  }

  private Http() {}

  static Result post(String address, String path, String body) {
    return send(
        request(address, path)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  static Result get(String address, String path) {
    return send(request(address, path).GET().build());
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(Duration.ofSeconds(1));
  }

  private static Result send(HttpRequest request) {
    try {
      HttpResponse<String> response =
          CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
      return new Result(response.statusCode(), response.body());
    } catch (Exception e) {
      return new Result(0, e.toString());
    }
  }
}
