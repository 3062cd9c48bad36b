package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.process.FaultyDisk;
import org.streamcourse.process.FaultyDisk.Fault;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.agreement.AgreementMessage.AppendResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Elections and leaders whose disks fail to store a term, a vote or an entry. */
public class FailedWritesTest {
  private static final List<String> IDENTITIES = List.of("a@1", "b@1", "c@1");
  private static final long ONE_WAY_MILLIS = 20;
  private static final Duration ELECTION = Duration.ofSeconds(10);

  private VirtualTimeScheduler clock;
  private final Map<String, AgreementNode> nodes = new TreeMap<>();
  private final Map<String, FaultyDisk> disks = new TreeMap<>();

  @BeforeMethod
  public void reset() {
    clock = VirtualTimeScheduler.create();
    nodes.clear();
    disks.clear();
  }

  @DataProvider
  public Object[][] voters() {
    return new Object[][] {{1, 1}, {3, 3}, {3, 2}};
  }

  private void create(int voters, int running) {
    List<String> identities = IDENTITIES.subList(0, voters);
    for (String identity : identities.subList(0, running)) {
      FaultyDisk disk = new FaultyDisk(new MemoryDisk());
      RecordLog log = RecordLog.open(disk, VoterSetCodec.codec());
      log.bootstrap(identity, identities, new byte[0]);
      disks.put(identity, disk);
      nodes.put(
          identity,
          new AgreementNode(
              SchedulerWorker.onSchedulerClock(clock),
              (to, message) -> send(to, message),
              log,
              new EmptyStateMachine(),
              AgreementSettings.DEFAULT,
              new Random(identity.hashCode())));
    }
  }

  private void send(String to, AgreementMessage message) {
    clock.schedule(() -> deliver(to, message), ONE_WAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** A failed write drops the message, as on a controller's worker. */
  private void deliver(String to, AgreementMessage message) {
    if (!nodes.containsKey(to)) {
      return;
    }
    try {
      nodes.get(to).receive(message);
    } catch (StreamcourseException e) {
      assertEquals(e.step(), "disk");
    }
  }

  private AgreementNode leader() {
    List<AgreementNode> leaders = nodes.values().stream().filter(AgreementNode::isLeader).toList();
    assertEquals(leaders.size(), 1, "leaders");
    return leaders.get(0);
  }

  private void startAndElect() {
    create(3, 3);
    nodes.values().forEach(AgreementNode::start);
    clock.advanceTimeBy(ELECTION);
  }

  private void propose(AgreementNode leader) {
    clock.schedule(() -> leader.propose(new byte[] {1}), 1, TimeUnit.MILLISECONDS);
  }

  private void assertCommits(AgreementNode leader) {
    long before = leader.commitIndex();
    propose(leader);
    clock.advanceTimeBy(Duration.ofSeconds(1));
    assertEquals(leader.commitIndex(), before + 1);
  }

  /** Guards against changes that are not taken while two of three controllers could store them. */
  @Test
  public void aLeaderThatCannotStoreEntriesIsReplaced() {
    startAndElect();
    AgreementNode former = leader();
    disks.get(former.identity()).failFromOn(0, Fault.HALF_WRITTEN);
    propose(former);
    clock.advanceTimeBy(ELECTION);
    assertNotSame(leader(), former);
    assertCommits(leader());
  }

  /** Guards against a leader that sends nothing, never resigns and refuses its vote. */
  @Test(dataProvider = "voters")
  public void aLeaderIsElectedAfterTheFirstEntryOfATermCouldNotBeStored(int voters, int running) {
    create(voters, running);
    disks.values().forEach(disk -> disk.failNextAppend(Fault.HALF_WRITTEN));
    nodes.values().forEach(AgreementNode::start);
    clock.advanceTimeBy(ELECTION);
    assertCommits(leader());
  }

  /** Guards against a controller that never stands again after it could not store a vote. */
  @Test(dataProvider = "voters")
  public void aLeaderIsElectedOnceVotesCanBeStored(int voters, int running) {
    create(voters, running);
    disks.values().forEach(disk -> disk.failFromOn(0, Fault.NOTHING_WRITTEN));
    nodes.values().forEach(AgreementNode::start);
    clock.advanceTimeBy(ELECTION);
    assertTrue(nodes.values().stream().noneMatch(AgreementNode::isLeader), "no vote is stored");
    disks.values().forEach(FaultyDisk::repair);
    clock.advanceTimeBy(ELECTION);
    assertCommits(leader());
  }

  /** Guards against a leader without heartbeats that has seen a higher term. */
  @Test
  public void aLeaderThatCannotStoreAHigherTermResigns() {
    startAndElect();
    AgreementNode former = leader();
    FaultyDisk disk = disks.get(former.identity());
    disk.failFromOn(0, Fault.NOTHING_WRITTEN);
    AppendResponse later = new AppendResponse("b@1", former.term() + 1, false, 0, 0);
    expectThrows(StreamcourseException.class, () -> former.receive(later));
    assertFalse(former.isLeader(), "still leads");
    disk.repair();
    clock.advanceTimeBy(ELECTION);
    assertCommits(leader());
  }
}
