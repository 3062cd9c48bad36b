package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.streamcourse.request.StreamMessage.KeepStreams;
import org.streamcourse.request.StreamMessage.Output;
import org.testng.annotations.Test;

/** A gateway's message that is dropped, while later ones arrive on the next link. */
public class LostPartTest {
  private static final long SEEDS = 12;
  private static final int ONE_LOST_OF = 20;

  /** Drops parts of answers. */
  private static final class DroppingParts extends SimParts {
    private final AtomicInteger dropped = new AtomicInteger();

    @Override
    Object transmit(String from, String to, Object message) {
      if (message instanceof Output output && output.streamId() % ONE_LOST_OF == 0) {
        dropped.incrementAndGet();
        return new KeepStreams(List.of());
      }
      return message;
    }
  }

  /** Guards against an answer that lacks rows and is passed off as whole. */
  @Test
  public void anAnswerThatMissesAPartIsNotPassedOffAsWhole() {
    List<String> violations =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .boxed()
            .flatMap(seed -> run(seed).stream())
            .toList();
    assertEquals(violations, List.of());
  }

  private static List<String> run(long seed) {
    DroppingParts parts = new DroppingParts();
    World world = new World(seed, parts);
    world.run(Scenario.PRIMARY_KILLED);
    assertTrue(parts.dropped.get() > 0, "parts were dropped");
    return world.history().violations();
  }
}
