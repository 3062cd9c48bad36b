package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Controllers that start at the same time elect a leader, with message delays of up to 250 ms. */
public class ElectionTest {
  private static final List<String> VOTERS = List.of("a@1", "b@1", "c@1");
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @DataProvider
  public Object[][] delays() {
    return new Object[][] {{1}, {40}, {100}, {180}, {250}};
  }

  @Test(dataProvider = "delays")
  public void electsOneLeader(long delayMillis) {
    for (long seed = 1; seed <= 20; seed++) {
      VirtualTimeScheduler clock = VirtualTimeScheduler.create();
      Map<String, AgreementNode> nodes = new TreeMap<>();
      Random random = new Random(seed);
      for (String identity : VOTERS) {
        RecordLog log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
        log.bootstrap(identity, VOTERS, new byte[0]);
        nodes.put(
            identity,
            new AgreementNode(
                SchedulerWorker.onSchedulerClock(clock),
                (to, message) ->
                    clock.schedule(
                        () -> nodes.get(to).receive(message), delayMillis, TimeUnit.MILLISECONDS),
                log,
                new EmptyStateMachine(),
                AgreementSettings.DEFAULT,
                random));
      }
      nodes.values().forEach(AgreementNode::start);
      clock.advanceTimeBy(TIMEOUT);
      long leaders = nodes.values().stream().filter(AgreementNode::isLeader).count();
      assertEquals(leaders, 1, "delay " + delayMillis + " ms, seed " + seed);
    }
  }

  /**
   * A leader can serve requests once the first entry of its term is committed. The leader sends
   * that entry immediately, so this takes one round trip. When the first append requests followed
   * that entry instead of containing it, they were rejected, and each election between regions took
   * 40 ms longer, during which no node could be admitted or confirmed.
   */
  @Test
  public void newLeaderServesAfterOneRoundTrip() {
    long delayMillis = 40;
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    Map<String, AgreementNode> nodes = new TreeMap<>();
    long[] firstAppendMillis = {-1};
    for (String identity : VOTERS) {
      RecordLog log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
      log.bootstrap(identity, VOTERS, new byte[0]);
      AgreementNetwork network =
          (to, message) -> {
            if (message instanceof AppendRequest && firstAppendMillis[0] < 0) {
              firstAppendMillis[0] = clock.now(TimeUnit.MILLISECONDS);
            }
            clock.schedule(
                () -> nodes.get(to).receive(message), delayMillis, TimeUnit.MILLISECONDS);
          };
      nodes.put(
          identity,
          new AgreementNode(
              SchedulerWorker.onSchedulerClock(clock),
              network,
              log,
              new EmptyStateMachine(),
              AgreementSettings.DEFAULT,
              new Random(identity.hashCode())));
    }
    nodes.values().forEach(AgreementNode::start);
    while (nodes.values().stream().noneMatch(AgreementNode::isLeader)) {
      clock.advanceTimeBy(Duration.ofMillis(1));
    }
    long tookMillis = clock.now(TimeUnit.MILLISECONDS) - firstAppendMillis[0];
    assertEquals(tookMillis, 2 * delayMillis);
  }
}
