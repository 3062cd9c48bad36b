package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.streamcourse.process.MemoryDisk;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * At the maximum number of voters, a learner replaces a lost voter and otherwise stays a learner.
 */
public class VoterChangesTest {
  private static final AgreementSettings SETTINGS = AgreementSettings.DEFAULT.withMaxVoters(3);
  private static final List<String> VOTERS = List.of("a@1", "b@1", "c@1");
  private static final long NOW = 100_000;

  private RecordLog log;
  private LeaderState leader;

  @BeforeMethod
  public void openLog() {
    log = RecordLog.open(new MemoryDisk(), VoterSetCodec.codec());
    log.bootstrap("a@1", VOTERS, new byte[0]);
    leader = new LeaderState(2);
  }

  private void responded(String identity, long millisAgo) {
    LeaderState.Progress progress = leader.progressOf(identity, log.lastIndex(), NOW);
    progress.lastResponseMillis = NOW - millisAgo;
    progress.matchIndex = log.lastIndex();
  }

  private Optional<VoterSet> next(VoterSet current) {
    return VoterChanges.next(log, current, log.lastIndex(), leader, NOW, SETTINGS);
  }

  @Test
  public void learnerStaysALearnerWhileAllVotersRespond() {
    responded("b@1", 10);
    responded("c@1", 10);
    responded("d@1", 10);
    assertEquals(next(new VoterSet(VOTERS, List.of("d@1"))), Optional.empty());
  }

  @Test
  public void lostVoterIsReplacedInTwoSteps() {
    responded("b@1", 10);
    responded("c@1", SETTINGS.voterLostMillis() + 1);
    responded("d@1", 10);
    VoterSet without = new VoterSet(List.of("a@1", "b@1"), List.of("d@1"));
    assertEquals(next(new VoterSet(VOTERS, List.of("d@1"))), Optional.of(without));
    assertEquals(next(without), Optional.of(new VoterSet(List.of("a@1", "b@1", "d@1"), List.of())));
  }

  @Test
  public void unresponsiveVoterStaysWithoutAResponsiveLearner() {
    responded("b@1", 10);
    responded("c@1", SETTINGS.voterLostMillis() + 1);
    assertEquals(next(new VoterSet(VOTERS, List.of())), Optional.empty());
    responded("d@1", SETTINGS.electionTimeoutMillis() + 1);
    assertEquals(next(new VoterSet(VOTERS, List.of("d@1"))), Optional.empty());
  }

  @Test
  public void controllerWithANewDiskReplacesItsFormerIdentity() {
    responded("b@1", 10);
    responded("c@1", 10);
    responded("c@2", 10);
    assertEquals(
        next(new VoterSet(VOTERS, List.of("c@2"))),
        Optional.of(new VoterSet(List.of("a@1", "b@1"), List.of("c@2"))));
  }
}
