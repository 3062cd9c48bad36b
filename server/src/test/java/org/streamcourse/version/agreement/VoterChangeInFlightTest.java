package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementMessage.JoinRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A controller that lost its disk is promoted from learner to voter, and the leader is lost with
 * its disk while the promotion is in flight to the two other controllers. The promotion must take
 * effect wherever it arrives. Otherwise the latest voters are the lost leader and one other, which
 * can never form a majority, and the quorum stays without a leader.
 *
 * <p>The failure: with each entry sent only once, a controller that lacked the entry before the
 * promotion rejected the promotion as well, and the rejection could not reach the lost leader. In
 * the simulator, c1 proposed {@code [c1, c3, c2']} as entry 27 and was lost; c2' and c3 received it
 * before entry 26, rejected it, received entry 26 within 50 ms, and then requested votes with the
 * voters {@code [c1, c3]} without success.
 */
public class VoterChangeInFlightTest {
  private static final List<String> VOTERS = List.of("a@1", "b@1", "c@1");
  private static final long ONE_WAY_MILLIS = 20;

  /** Enough time for a round trip. */
  private static final long ROUND_TRIP_MILLIS = 3 * ONE_WAY_MILLIS;

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private VirtualTimeScheduler clock;
  private final Map<String, AgreementNode> nodes = new TreeMap<>();
  private final Set<String> lostNodes = new HashSet<>();
  private AgreementSettings settings;
  private boolean dropCommands;
  private boolean dropPromotions;
  private boolean promotionSent;
  private String returned;

  @BeforeMethod
  public void reset() {
    clock = VirtualTimeScheduler.create();
    settings = AgreementSettings.DEFAULT;
    nodes.clear();
    lostNodes.clear();
    dropCommands = false;
    dropPromotions = false;
    promotionSent = false;
  }

  private void startNode(String identity, RecordLog log) {
    AgreementNode node =
        new AgreementNode(
            SchedulerWorker.onSchedulerClock(clock),
            (to, message) -> send(identity, to, message),
            log,
            new EmptyStateMachine(),
            settings,
            new Random(identity.hashCode()));
    nodes.put(identity, node);
    node.start();
  }

  private void send(String from, String to, AgreementMessage message) {
    if (lostNodes.contains(from) || lostNodes.contains(to)) {
      return;
    }
    if (!isDropped(message)) {
      clock.schedule(() -> deliver(to, message), ONE_WAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isDropped(AgreementMessage message) {
    if (!(message instanceof AppendRequest request) || request.entries().isEmpty()) {
      return false;
    }
    boolean promotes = request.entries().stream().anyMatch(this::promotes);
    promotionSent |= promotes;
    return promotes ? dropPromotions : dropCommands;
  }

  private boolean promotes(LogEntry entry) {
    return entry.kind() == LogEntry.Kind.VOTERS
        && VoterSetCodec.decode(entry.payload()).voters().stream()
            .anyMatch(each -> each.endsWith("@2"));
  }

  private void deliver(String to, AgreementMessage message) {
    if (!lostNodes.contains(to)) {
      nodes.get(to).receive(message);
    }
  }

  private void advance(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void advanceWhile(BooleanSupplier condition) {
    for (long millis = 0; condition.getAsBoolean(); millis++) {
      assertTrue(millis < TIMEOUT.toMillis(), "condition still holds after the timeout");
      advance(1);
    }
  }

  private List<AgreementNode> leaders() {
    return nodes.values().stream()
        .filter(each -> !lostNodes.contains(each.identity()) && each.isLeader())
        .toList();
  }

  private AgreementNode startVotersAndElectLeader() {
    for (String identity : VOTERS) {
      RecordLog log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
      log.bootstrap(identity, VOTERS, new byte[0]);
      startNode(identity, log);
    }
    advance(5_000);
    return leaders().get(0);
  }

  /** Starts a quorum and returns its leader when that is about to promote a returned controller. */
  private AgreementNode leaderAboutToPromote() {
    AgreementNode leader = startVotersAndElectLeader();
    String lost =
        VOTERS.stream().filter(each -> !each.equals(leader.identity())).findFirst().orElseThrow();
    lostNodes.add(lost);
    returned = lost.replace("@1", "@2");
    RecordLog empty = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
    empty.saveQuorumState(new QuorumState(returned, 0, ""));
    startNode(returned, empty);
    leader.receive(new JoinRequest(returned, 0));
    advanceWhile(() -> leader.voters().voters().size() == VOTERS.size());
    assertEquals(leader.voters().learners(), List.of(returned), "not yet a voter");
    return leader;
  }

  private void loseWithItsDisk(AgreementNode leader) {
    lostNodes.add(leader.identity());
    dropCommands = false;
    dropPromotions = false;
    clock.advanceTimeBy(TIMEOUT);
  }

  private void assertLeaderExistsAndReturnedControllerVotes() {
    assertEquals(leaders().size(), 1, "leaders after the loss");
    AgreementNode next = leaders().get(0);
    assertTrue(next.voters().voters().contains(returned), next.voters().toString());
  }

  @Test
  public void promotionTakesEffectAlthoughTheEntryBeforeItWasLost() {
    AgreementNode leader = leaderAboutToPromote();
    dropCommands = true;
    byte[] command = "lost on its way".getBytes(StandardCharsets.UTF_8);
    clock.schedule(() -> leader.propose(command), 1, TimeUnit.MILLISECONDS);
    advanceWhile(() -> !promotionSent);
    loseWithItsDisk(leader);
    assertLeaderExistsAndReturnedControllerVotes();
  }

  /**
   * An operator may stop the next controller once the returned one is shown as a voter, so it must
   * not be shown as one while only the leader's log contains the promotion. In the simulator, with
   * one seed of 1,000, entry 21 {@code [c2, c3, c1']} was lost on its way to both other controllers
   * and c2, the leader, was lost within 50 ms; the latest voters were then {@code [c2, c3]}.
   */
  @Test
  public void promotionIsShownOnlyOnceItIsCommitted() {
    AgreementNode leader = leaderAboutToPromote();
    dropPromotions = true;
    advanceWhile(() -> !promotionSent);
    advance(ROUND_TRIP_MILLIS);
    assertFalse(leader.voters().voters().contains(returned), "the promotion is not committed");
    dropPromotions = false;
    advanceWhile(() -> !leader.voters().voters().contains(returned));
    loseWithItsDisk(leader);
    assertLeaderExistsAndReturnedControllerVotes();
  }

  /**
   * A controller is lost for good and one with another name is added. The new controller must
   * replace the lost voter. A leader that tracked its own responses, of which there are none, took
   * itself for the lost voter and removed itself; the remaining voters were the lost one and one
   * other, and no operator's change was accepted any more.
   */
  @Test
  public void learnerReplacesTheLostVoterAndNotTheLeader() {
    settings = AgreementSettings.DEFAULT.withMaxVoters(VOTERS.size());
    AgreementNode leader = startVotersAndElectLeader();
    String lost =
        VOTERS.stream().filter(each -> !each.equals(leader.identity())).findFirst().orElseThrow();
    lostNodes.add(lost);
    RecordLog empty = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
    empty.saveQuorumState(new QuorumState("d@1", 0, ""));
    startNode("d@1", empty);
    leader.receive(new JoinRequest("d@1", 0));
    clock.advanceTimeBy(TIMEOUT);
    assertTrue(leader.isLeader(), "is still the leader");
    List<String> voters = leader.voters().voters();
    assertEquals(voters.size(), VOTERS.size(), voters.toString());
    assertTrue(voters.contains("d@1") && voters.contains(leader.identity()), voters.toString());
  }
}
