package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Reads at the primary that have a link and a transaction and wait for a slot of the member. Guards
 * against answers that leave open whether such a read has run: it has not.
 */
public class SlotWaitTest {
  private static final int NODES = ScriptedService.CONNECTIONS + 5;
  private static final long ONE_WAY_MILLIS = 5;
  private static final int READS = ScriptedService.SLOTS + 3;

  private RelayFleet fleet;
  private ScriptedService service;

  @BeforeMethod
  public void startFleet() {
    fleet = new RelayFleet(NODES, ONE_WAY_MILLIS);
    service = fleet.service;
  }

  private RelayFleet.Node owner() {
    return node(true);
  }

  private RelayFleet.Node nonHolder() {
    return node(false);
  }

  private RelayFleet.Node node(boolean holdsSlots) {
    return fleet.nodes().stream()
        .filter(node -> node.table.service("s").primary().holdsLinks() == holdsSlots)
        .filter(node -> !holdsSlots || node.table.service("s").primary().links() > 1)
        .findFirst()
        .orElseThrow();
  }

  /** Opens the owner's links, so that each of the following reads gets one at once. */
  private void openLinks() {
    for (int i = 0; i < READS; i++) {
      nonHolder().begin("t" + i);
    }
    service.pass(500);
    assertEquals(service.opened.size(), READS);
    service.opened.forEach(MemberLink::close);
    service.pass(100);
  }

  private void readAtPrimary(RelayFleet.Node node) {
    for (int i = 0; i < READS; i++) {
      node.readAtPrimary("r" + i);
    }
  }

  private long answers(AnswerCode code) {
    return service.answers.stream().filter(answer -> answer.code() == code).count();
  }

  private long readsSent() {
    return readsSent("");
  }

  /** Returns the number of sent reads whose id contains a text. */
  private long readsSent(String part) {
    return service.commands.get(ScriptedService.PRIMARY).stream()
        .filter(MemberCommand.Run.class::isInstance)
        .map(MemberCommand.Run.class::cast)
        .filter(run -> run.text().startsWith("READ") && run.id().value().contains(part))
        .count();
  }

  /**
   * Guards against the answer FAILED to a read that was not sent when the links of its holder
   * ended.
   */
  @Test
  public void aReadFailsOnlyAfterItWasSentAsOftenAsItsRouteAllows() {
    openLinks();
    readWhileLinksEnd(nonHolder());
    assertOnlyReadsThatWereSentFail();
  }

  /** Guards against the answer FAILED to a read of the holder's own callers that was not sent. */
  @Test
  public void aReadOfTheHolderItselfFailsOnlyAfterItWasSentAsOftenAsItsRouteAllows() {
    openLinks();
    readWhileLinksEnd(owner());
    assertOnlyReadsThatWereSentFail();
  }

  private void readWhileLinksEnd(RelayFleet.Node node) {
    service.workMillis = 100;
    readAtPrimary(node);
    for (int i = 0; i < 3; i++) {
      service.pass(60);
      service.breakConnections(ScriptedService.PRIMARY);
    }
    service.pass(ScriptedService.TARGET_MILLIS);
  }

  private void assertOnlyReadsThatWereSentFail() {
    assertEquals(service.answers.size(), READS, answersText());
    long failed = answers(AnswerCode.FAILED);
    assertEquals(service.completed() + failed, READS, answersText());
    long sentTwice =
        IntStream.range(0, READS)
            .mapToObj(number -> "r" + number)
            .filter(id -> service.completed(id) == 0 && readsSent(id) >= 2)
            .count();
    assertEquals(failed, sentTwice, answersText());
  }

  private String answersText() {
    return service.answers.stream().map(Answer::toString).toList().toString();
  }

  /** Guards against the answer TIMEOUT to a read of another node that was not sent. */
  @Test
  public void aReadThatGetsNoSlotAtItsHolderIsRefusedAfterItsLongestWait() {
    openLinks();
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    readAtPrimary(nonHolder());
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 4 * ONE_WAY_MILLIS);
    assertRefused();
  }

  /** Guards against a read that was not sent and is refused only when its time-out ends. */
  @Test
  public void aReadThatGetsNoSlotIsRefusedAfterItsLongestWait() {
    openLinks();
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    readAtPrimary(owner());
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 4 * ONE_WAY_MILLIS);
    assertRefused();
  }

  private void assertRefused() {
    List<Answer> answers = service.answers;
    assertEquals(answers(AnswerCode.BUSY), READS - ScriptedService.SLOTS, answersText());
    assertEquals(answers.size(), READS - ScriptedService.SLOTS, answersText());
    assertTrue(
        answers.stream().allMatch(answer -> answer.text().contains("retry-after-ms")),
        answersText());
    service.pass(20 * ScriptedService.TARGET_MILLIS);
    assertEquals(readsSent(), ScriptedService.SLOTS, "refused reads do not run later");
    assertEquals(owner().table.service("s").primary().used(), 0, "links are returned");
  }

  /** Guards against the answer TIMEOUT to a read whose transaction did not begin in time. */
  @Test
  public void aReadWhoseTransactionDidNotBeginHasNotRun() {
    openLinks();
    service.beginMillis = 5 * ScriptedService.TARGET_MILLIS;
    owner().readAtPrimary("r");
    service.pass(ScriptedService.TARGET_MILLIS);
    assertEquals(readsSent(), 0);
    assertEquals(service.answers.size(), 1);
    assertEquals(answers(AnswerCode.BUSY), 1, answersText());
  }

  /** Guards against the answer that a read has not run although it was sent. */
  @Test
  public void aReadThatWasSentAndIsNotAnsweredMayHaveRun() {
    openLinks();
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    nonHolder().readAtPrimary("r");
    owner().readAtPrimary("s");
    service.pass(ScriptedService.TARGET_MILLIS);
    assertEquals(readsSent(), 2);
    assertEquals(answers(AnswerCode.TIMEOUT), 2, answersText());
  }

  /** Guards against the answer that a write has not run although it was sent. */
  @Test
  public void aWriteThatWasSentWhenTheLinkEndedIsInDoubt() {
    openLinks();
    service.workMillis = 100;
    nonHolder().write("w");
    owner().write("v");
    service.pass(50);
    service.breakConnections(ScriptedService.PRIMARY);
    service.pass(700);
    assertEquals(answers(AnswerCode.OUTCOME_UNKNOWN), 2, answersText());
  }
}
