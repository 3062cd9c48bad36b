package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A leader sends each entry to each controller once, and resends it only when it was
 * unreachableNodes. A leader that resent all unacknowledged entries with each new one sent each
 * entry a dozen times while a fleet started, with some 300 changes within a second and a round trip
 * of 40 ms: 36 MB between regions.
 */
public class EntriesSentOnceTest {
  private static final List<String> VOTERS = List.of("a@1", "b@1", "c@1", "d@1", "e@1");
  private static final long ONE_WAY_MILLIS = 20;
  private static final int CHANGES = 300;
  private static final long CHANGE_INTERVAL_MILLIS = 3;

  /** Records the applied commands. */
  private static final class RecordingStateMachine implements StateMachine {
    private final List<String> commands = new ArrayList<>();

    @Override
    public void apply(long index, byte[] command) {
      commands.add(new String(command, StandardCharsets.UTF_8));
    }

    @Override
    public byte[] snapshot() {
      return String.join(",", commands).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] state) {
      commands.clear();
      String text = new String(state, StandardCharsets.UTF_8);
      commands.addAll(text.isEmpty() ? List.of() : List.of(text.split(",")));
    }

    @Override
    public void leadershipStarted(long term) {}

    @Override
    public void leadershipEnded() {}
  }

  private final class Group {
    private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    private final Map<String, AgreementNode> nodes = new TreeMap<>();
    private final Map<String, RecordingStateMachine> stateMachines = new HashMap<>();
    private final Set<String> unreachableNodes = new HashSet<>();
    private final Random random = new Random(7);
    private long entriesSent;
    private long requests;
    private int lossPercent;

    Group() {
      for (String identity : VOTERS) {
        RecordLog log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
        log.bootstrap(identity, VOTERS, new byte[0]);
        RecordingStateMachine stateMachine = new RecordingStateMachine();
        stateMachines.put(identity, stateMachine);
        nodes.put(
            identity,
            new AgreementNode(
                SchedulerWorker.onSchedulerClock(clock),
                (to, message) -> send(identity, to, message),
                log,
                stateMachine,
                AgreementSettings.DEFAULT,
                random));
      }
      nodes.values().forEach(AgreementNode::start);
      advance(5_000);
      entriesSent = 0;
    }

    private void send(String from, String to, AgreementMessage message) {
      if (message instanceof AppendRequest request) {
        requests++;
        entriesSent += request.entries().size();
      }
      if (unreachableNodes.contains(from)
          || unreachableNodes.contains(to)
          || random.nextInt(100) < lossPercent) {
        return;
      }
      clock.schedule(() -> nodes.get(to).receive(message), ONE_WAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void advance(long millis) {
      clock.advanceTimeBy(Duration.ofMillis(millis));
    }

    private AgreementNode leader() {
      return nodes.values().stream().filter(AgreementNode::isLeader).findFirst().orElseThrow();
    }

    private void proposeCommands(int from, int count) {
      for (int i = from; i < from + count; i++) {
        byte[] command = ("c" + i).getBytes(StandardCharsets.UTF_8);
        // Proposals are made from a task of the worker, as in production.
        clock.schedule(() -> leader().propose(command), 1, TimeUnit.MILLISECONDS);
        advance(CHANGE_INTERVAL_MILLIS);
      }
    }

    private void assertAllApplied(int count) {
      List<String> expected = IntStream.range(0, count).mapToObj(i -> "c" + i).toList();
      stateMachines.forEach(
          (name, stateMachine) -> assertEquals(stateMachine.commands, expected, name));
    }
  }

  @Test
  public void sendsEachEntryToEachControllerOnce() {
    Group group = new Group();
    group.proposeCommands(0, CHANGES);
    group.advance(1_000);
    group.assertAllApplied(CHANGES);
    assertEquals(group.entriesSent, (long) CHANGES * (VOTERS.size() - 1));
  }

  @Test
  public void lostEntriesAreResent() {
    Group group = new Group();
    group.lossPercent = 5;
    group.proposeCommands(0, CHANGES);
    group.lossPercent = 0;
    group.advance(2_000);
    group.assertAllApplied(CHANGES);
    long once = (long) CHANGES * (VOTERS.size() - 1);
    assertTrue(group.entriesSent < 6 * once, group.entriesSent + " entries sent, " + once + " new");
  }

  @Test
  public void unreachableControllerCatchesUpFromASnapshot() {
    Group group = new Group();
    AgreementNode leader = group.leader();
    String unreachable =
        VOTERS.stream().filter(each -> !each.equals(leader.identity())).findFirst().orElseThrow();
    group.unreachableNodes.add(unreachable);
    group.proposeCommands(0, 2 * CHANGES);
    group.unreachableNodes.clear();
    group.advance(2_000);
    group.assertAllApplied(2 * CHANGES);
  }

  @Test
  public void concurrentConfirmationsShareARound() {
    Group group = new Group();
    int[] confirmed = new int[1];
    long before = group.requests;
    for (int i = 0; i < CHANGES; i++) {
      Runnable confirm = () -> group.leader().whenLeadershipConfirmed(() -> confirmed[0]++, true);
      group.clock.schedule(confirm, 1, TimeUnit.MILLISECONDS);
      group.advance(1);
    }
    group.advance(200);
    assertEquals(confirmed[0], CHANGES);
    long rounds = (group.requests - before) / (VOTERS.size() - 1);
    assertTrue(rounds <= CHANGES / 10 + 8, rounds + " rounds within half a second");
  }
}
