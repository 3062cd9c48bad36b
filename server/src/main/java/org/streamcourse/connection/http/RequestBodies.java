package org.streamcourse.connection.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
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

  /** Why a body is refused. */
  public enum Refusal {
    /** The body is longer than the limit for one body. */
    TOO_LARGE,
    /** Too many bytes are held; the same request may be accepted later. */
    TOO_MANY,
    /** The body is not valid UTF-8, or its transfer coding is malformed. */
    MALFORMED
  }

  /** Signals a body that is not used; the rest of it is discarded. */
  public static final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final Refusal refusal;

    RefusedException(Refusal refusal, String reason) {
      super(reason, null, false, false);
      this.refusal = refusal;
    }

    /**
     * Returns why the body is refused.
     *
     * @return kind of refusal
     */
    public Refusal refusal() {
      return refusal;
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
            Refusal.TOO_LARGE,
            "body of " + size + " bytes exceeds the limit of " + maxBytes + " bytes");
      }
      if (!held.tryTake(part.length)) {
        throw new RefusedException(
            Refusal.TOO_MANY, "too many large requests; try again in a second");
      }
      taken += part.length;
      content.writeBytes(part);
      return this;
    }

    /** Decodes the body strictly: replacing bytes would make another text of it. */
    private String text() {
      try {
        return StandardCharsets.UTF_8
            .newDecoder()
            .decode(ByteBuffer.wrap(content.toByteArray()))
            .toString();
      } catch (CharacterCodingException e) {
        throw new RefusedException(Refusal.MALFORMED, "body: not valid UTF-8");
      }
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
   *     exceeded or the body is malformed
   */
  public Mono<Void> read(Flux<byte[]> parts, String announced, Function<String, Mono<Void>> use) {
    return Mono.using(
        () -> new Body(announced),
        body ->
            parts
                .reduce(body, Body::append)
                .flatMap(whole -> use.apply(whole.text()))
                .doOnError(FatalErrors::check),
        Body::release);
  }
}
