package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementMessage.VoteRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A leader's tasks wait until a majority has confirmed this leadership, not a former one. */
public class LeadershipConfirmationTest {
  private static final String LEADER = "a@1";
  private static final String FOLLOWER = "b@1";
  private static final List<String> VOTERS = List.of(LEADER, FOLLOWER, "c@1");

  private final Map<String, AgreementNode> nodes = new TreeMap<>();
  private final List<AppendRequest> requests = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private Set<String> silent;

  @BeforeMethod
  public void electLeader() {
    clock = VirtualTimeScheduler.create();
    silent = Set.of();
    nodes.clear();
    requests.clear();
    for (String identity : VOTERS) {
      RecordLog log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
      log.bootstrap(identity, VOTERS, new byte[0]);
      nodes.put(
          identity,
          new AgreementNode(
              SchedulerWorker.onSchedulerClock(clock),
              (to, message) -> send(identity, to, message),
              log,
              new EmptyStateMachine(),
              AgreementSettings.DEFAULT,
              new Random(identity.hashCode())));
    }
    nodes.values().forEach(AgreementNode::start);
    advanceUntilElected();
  }

  /** Delivers messages, except those of silent controllers; only one becomes a candidate. */
  private void send(String from, String to, AgreementMessage message) {
    if (message instanceof AppendRequest request && to.equals(FOLLOWER)) {
      requests.add(request);
    }
    boolean otherCandidate = message instanceof VoteRequest && !from.equals(LEADER);
    if (!silent.contains(from) && !otherCandidate) {
      clock.schedule(() -> nodes.get(to).receive(message));
    }
  }

  private AgreementNode leader() {
    return nodes.get(LEADER);
  }

  private void advance(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void advanceUntilElected() {
    for (int i = 0; i < 10_000 && !leader().isLeader(); i++) {
      advance(1);
    }
    assertTrue(leader().isLeader());
  }

  /** Guards against a leader without a majority that takes itself for confirmed. */
  @Test
  public void aRejectedRequestOfAFormerLeadershipConfirmsNothing() {
    advance(2_000);
    AppendRequest late = requests.get(requests.size() - 1);
    silent = Set.copyOf(VOTERS);
    advance(2_000);
    assertFalse(leader().isLeader());
    silent = Set.of();
    advanceUntilElected();

    silent = Set.of(LEADER);
    List<String> confirmed = new ArrayList<>();
    leader().whenLeadershipConfirmed(() -> confirmed.add("confirmed"), true);
    advance(20);
    assertEquals(confirmed, List.of());
    nodes.get(FOLLOWER).receive(late);
    advance(0);
    assertEquals(confirmed, List.of(), "confirmed by a rejected request of the former leadership");
  }
}
