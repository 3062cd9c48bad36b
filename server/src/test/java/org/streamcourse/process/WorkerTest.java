package org.streamcourse.process;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Periodic tasks. */
public class WorkerTest {
  /** Guards against heartbeats and supervision that end for good after one failure. */
  @Test
  public void aTaskThatFailedIsRepeatedUntilItIsCancelled() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    int[] runs = {0};
    Disposable repetition =
        worker.repeat(
            100,
            () -> {
              runs[0]++;
              throw new IllegalStateException("test");
            });
    clock.advanceTimeBy(Duration.ofMillis(350));
    assertEquals(runs[0], 3);
    repetition.dispose();
    clock.advanceTimeBy(Duration.ofMillis(350));
    assertEquals(runs[0], 3, "runs after the cancellation");
  }
}
