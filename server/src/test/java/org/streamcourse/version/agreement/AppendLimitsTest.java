package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.MemoryLimits;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementMessage.SnapshotRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Bytes that a leader sends to a controller that does not acknowledge them. */
public class AppendLimitsTest {
  private static final List<String> VOTERS = List.of("a@1", "b@1", "c@1");
  private static final MemoryLimits LIMITS = new MemoryLimits(1024 * 1024);
  private static final int COMMAND_BYTES = 1_000;
  private static final long ONE_WAY_MILLIS = 5;

  /** A state of fixed size that counts the applied commands. */
  private static final class CountingStateMachine implements StateMachine {
    private int commands;

    @Override
    public void apply(long index, byte[] command) {
      commands++;
    }

    @Override
    public byte[] snapshot() {
      return Integer.toString(commands).getBytes();
    }

    @Override
    public void restore(byte[] state) {
      commands = state.length == 0 ? 0 : Integer.parseInt(new String(state));
    }

    @Override
    public void leadershipStarted(long term) {}

    @Override
    public void leadershipEnded() {}
  }

  private final Map<String, AgreementNode> nodes = new TreeMap<>();
  private final Map<String, CountingStateMachine> stateMachines = new HashMap<>();
  private final List<AgreementMessage> held = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private String slow;
  private long largestAppendBytes;

  @BeforeMethod
  public void start() {
    nodes.clear();
    held.clear();
    slow = "";
    largestAppendBytes = 0;
    clock = VirtualTimeScheduler.create();
    Random random = new Random(3);
    for (String identity : VOTERS) {
      RecordLog log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec(), LIMITS);
      log.bootstrap(identity, VOTERS, new byte[0]);
      CountingStateMachine stateMachine = new CountingStateMachine();
      stateMachines.put(identity, stateMachine);
      nodes.put(
          identity,
          new AgreementNode(
              SchedulerWorker.onSchedulerClock(clock),
              this::send,
              log,
              stateMachine,
              AgreementSettings.DEFAULT.withMemory(LIMITS),
              random));
    }
    nodes.values().forEach(AgreementNode::start);
    advance(3_000);
  }

  private void send(String to, AgreementMessage message) {
    if (message instanceof AppendRequest request) {
      largestAppendBytes = Math.max(largestAppendBytes, bytes(request));
    }
    if (to.equals(slow)) {
      held.add(message);
    } else {
      clock.schedule(() -> nodes.get(to).receive(message), ONE_WAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static long bytes(AgreementMessage message) {
    if (message instanceof AppendRequest request) {
      return request.entries().stream().mapToLong(entry -> entry.payload().length).sum();
    }
    return message instanceof SnapshotRequest request ? request.snapshot().state().length : 0;
  }

  private void advance(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private AgreementNode leader() {
    return nodes.values().stream().filter(AgreementNode::isLeader).findFirst().orElseThrow();
  }

  private void propose(int count) {
    for (int i = 0; i < count; i++) {
      clock.schedule(() -> leader().propose(new byte[COMMAND_BYTES]), 1, TimeUnit.MILLISECONDS);
      advance(20);
    }
  }

  /** Guards against entries that accumulate on the link to a controller that is cut off. */
  @Test
  public void unacknowledgedEntriesStayWithinTheLimit() {
    String leader = leader().identity();
    slow = VOTERS.stream().filter(each -> !each.equals(leader)).findFirst().orElseThrow();
    propose(400);
    long heldBytes = held.stream().mapToLong(AppendLimitsTest::bytes).sum();
    long limit = LIMITS.unacknowledgedBytes() + LIMITS.appendBytes();
    assertTrue(heldBytes <= limit, heldBytes + " bytes in flight, limit " + limit);
    long snapshots = held.stream().filter(SnapshotRequest.class::isInstance).count();
    assertTrue(snapshots <= 1, snapshots + " snapshots in flight");
    slow = "";
    held.clear();
    advance(2_000);
    stateMachines.forEach((name, each) -> assertEquals(each.commands, 400, name));
  }

  /** Guards against one request with 64 entries of any length. */
  @Test
  public void anAppendRequestIsLimitedInBytes() {
    clock.schedule(
        () -> {
          for (int i = 0; i < 50; i++) {
            leader().propose(new byte[COMMAND_BYTES]);
          }
        },
        1,
        TimeUnit.MILLISECONDS);
    advance(2_000);
    stateMachines.forEach((name, each) -> assertEquals(each.commands, 50, name));
    assertTrue(largestAppendBytes <= LIMITS.appendBytes(), largestAppendBytes + " bytes");
  }

  @Test
  public void aLongerEntryIsSentAlone() {
    int length = 3 * LIMITS.appendBytes();
    clock.schedule(() -> leader().propose(new byte[length]), 1, TimeUnit.MILLISECONDS);
    propose(3);
    advance(2_000);
    stateMachines.forEach((name, each) -> assertEquals(each.commands, 4, name));
    assertEquals(largestAppendBytes, length);
  }
}
