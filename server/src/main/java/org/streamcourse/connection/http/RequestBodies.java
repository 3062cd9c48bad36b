package org.streamcourse.connection.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.streamcourse.process.ByteBudget;
import org.streamcourse.process.FatalErrors;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads bodies of HTTP requests, within a limit for one body and a limit for all bodies that are
 * held at the same time.
 */
public final class RequestBodies {
  private final long maxBytes;
  private final ByteBudget held;

  /**
   * Creates the limits.
   *
   * @param maxBytes maximum length of one body
   * @param held bytes of all bodies that are held
   */
  public RequestBodies(long maxBytes, ByteBudget held) {
    this.maxBytes = maxBytes;
    this.held = held;
  }

  /** Signals a body that is not read; the rest of it is discarded. */
  public static final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final boolean temporary;

    RefusedException(String reason, boolean temporary) {
      super(reason, null, false, false);
      this.temporary = temporary;
    }

    /**
     * Returns whether the same request may be accepted later.
     *
     * @return false for a body over the limit
     */
    public boolean isTemporary() {
      return temporary;
    }
  }

  /** A body while it is read and used; its bytes count until the response has been sent. */
  private final class Body {
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final String announced;
    private long taken;

    Body(String announced) {
      this.announced = announced;
    }

    private Body append(byte[] part) {
      long length = (long) content.size() + part.length;
      if (length > maxBytes) {
        String size = announced.isEmpty() ? "more than " + maxBytes : announced;
        throw new RefusedException(
            "body of " + size + " bytes exceeds the limit of " + maxBytes + " bytes", false);
      }
      if (!held.tryTake(part.length)) {
        throw new RefusedException("too many large requests; try again in a second", true);
      }
      taken += part.length;
      content.writeBytes(part);
      return this;
    }

    private void release() {
      held.release(taken);
      taken = 0;
    }
  }

  /**
   * Reads the body of a request.
   *
   * @param parts parts of the body as they arrive
   * @param announced value of the request's Content-Length header, or an empty text
   * @param use uses the text of the body and completes when the response has been sent
   * @return completes with {@code use}; fails with {@link RefusedException} when a limit is
   *     exceeded
   */
  public Mono<Void> read(Flux<byte[]> parts, String announced, Function<String, Mono<Void>> use) {
    return Mono.using(
        () -> new Body(announced),
        body ->
            parts
                .reduce(body, Body::append)
                .flatMap(whole -> use.apply(whole.content.toString(StandardCharsets.UTF_8)))
                .doOnError(FatalErrors::check),
        Body::release);
  }
}
