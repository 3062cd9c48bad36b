package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.streamcourse.request.StreamMessage.KeepStreams;
import org.streamcourse.request.StreamMessage.Output;
import org.testng.annotations.Test;

/** Drops messages with parts of an answer, while later messages of the stream arrive. */
public class DroppedOutputTest {
  private static final long SEEDS = 12;
  private static final int DROPPED_STREAM_DIVISOR = 20;

  /** Replaces the output messages of some streams by messages without effect. */
  private static final class OutputDroppingHooks extends SimHooks {
    private final AtomicInteger dropped = new AtomicInteger();

    @Override
    Object transmit(String from, String to, Object message) {
      if (message instanceof Output output && output.streamId() % DROPPED_STREAM_DIVISOR == 0) {
        dropped.incrementAndGet();
        return new KeepStreams(List.of());
      }
      return message;
    }
  }

  /** Guards against an answer with missing rows that the caller receives as complete. */
  @Test
  public void answerWithDroppedOutputIsNotReportedAsComplete() {
    List<String> violations =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .boxed()
            .flatMap(seed -> run(seed).stream())
            .toList();
    assertEquals(violations, List.of());
  }

  private static List<String> run(long seed) {
    OutputDroppingHooks hooks = new OutputDroppingHooks();
    World world = new World(seed, hooks);
    world.run(Scenario.PRIMARY_KILLED);
    assertTrue(hooks.dropped.get() > 0, "no output message was dropped");
    return world.history().violations();
  }
}
