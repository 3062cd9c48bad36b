package org.streamcourse.connection.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.http.RequestBodies.Refusal;
import org.streamcourse.connection.http.RequestBodies.RefusedException;
import org.streamcourse.process.ByteBudget;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Bodies beyond a limit are refused at once, and all bytes are given back. */
public class RequestBodiesTest {
  private final ByteBudget held = new ByteBudget(100);
  private final RequestBodies bodies = new RequestBodies(60, held);
  private final List<String> read = new ArrayList<>();

  private Mono<Void> read(Flux<byte[]> parts, String announced) {
    return bodies.read(parts, announced, text -> Mono.fromRunnable(() -> read.add(text)));
  }

  @Test
  public void joinsThePartsOfABody() {
    read.clear();
    read(Flux.just("ab".getBytes(), "c".getBytes()), "3").block();
    assertEquals(read, List.of("abc"));
    assertEquals(held.used(), 0);
  }

  @Test
  public void aTooLargeBodyIsRefusedWithItsSizeAndTheLimit() {
    Flux<byte[]> parts = Flux.just(new byte[40], new byte[40], new byte[40]);
    RefusedException refused =
        expectThrows(RefusedException.class, () -> read(parts, "120").block());
    assertEquals(refused.refusal(), Refusal.TOO_LARGE);
    assertEquals(refused.getMessage(), "body of 120 bytes exceeds the limit of 60 bytes");
    assertEquals(held.used(), 0);
  }

  /** Guards against several large bodies that together take more memory than there is. */
  @Test
  public void bodiesThatAreHeldLimitTheNextOnes() {
    Sinks.Empty<Void> response = Sinks.empty();
    bodies.read(Flux.just(new byte[60]), "60", text -> response.asMono()).subscribe();
    assertEquals(held.used(), 60);
    RefusedException refused =
        expectThrows(RefusedException.class, () -> read(Flux.just(new byte[50]), "").block());
    assertEquals(refused.refusal(), Refusal.TOO_MANY);
    response.tryEmitEmpty();
    assertEquals(held.used(), 0);
    read(Flux.just(new byte[50]), "").block();
    assertEquals(held.used(), 0);
  }

  /** Guards against a document that can't be read whole and is accepted as a different text. */
  @Test
  public void aBodyThatIsNotValidTextIsRefused() {
    read.clear();
    byte[] broken = {'"', 'a', (byte) 0xff, '"'};
    RefusedException refused =
        expectThrows(RefusedException.class, () -> read(Flux.just(broken), "4").block());
    assertEquals(refused.refusal(), Refusal.MALFORMED);
    assertEquals(refused.getMessage(), "body: not valid UTF-8");
    assertEquals(read, List.of());
    assertEquals(held.used(), 0);
  }

  @Test
  public void aCharacterMayBeSplitBetweenTwoParts() {
    read.clear();
    byte[] character = "é".getBytes(StandardCharsets.UTF_8);
    byte[] first = {character[0]};
    byte[] second = {character[1]};
    read(Flux.just(first, second), "2").block();
    assertEquals(read, List.of("é"));
  }
}
