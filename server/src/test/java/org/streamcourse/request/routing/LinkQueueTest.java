package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.streamcourse.request.statement.AnswerCode;
import org.testng.annotations.Test;

/** Which requests wait for a link to a member, for how long, and which are refused at once. */
public class LinkQueueTest {
  private static final int LINKS = ScriptedService.CONNECTIONS - 1;
  private static final int MAX_WAITING = 16 * LINKS;
  private static final long LONG_WORK_MILLIS = 100;
  private static final long SHORT_WORK_MILLIS = 10;
  private static final int SLOW_WRITES = 30;

  /**
   * Creates a service whose links were held for long, as during a cold start of all nodes; the
   * expected wait for a link is therefore long.
   */
  private static ScriptedService afterLongHolds() {
    ScriptedService service = new ScriptedService();
    service.workMillis = LONG_WORK_MILLIS;
    for (int i = 0; i < SLOW_WRITES; i++) {
      service.write("t" + i);
      service.pass(LONG_WORK_MILLIS + 20);
    }
    service.answers.clear();
    return service;
  }

  /** Creates a service whose members refuse every connection until {@code setFull(false)}. */
  private static ScriptedService withoutRoomForConnections() {
    ScriptedService service = new ScriptedService();
    service.removeMembers();
    service.setFull(true);
    service.worker.repeat(100, service.table::checkHealth);
    service.registerMembers();
    service.pass(50);
    return service;
  }

  private static void write(ScriptedService service, int count) {
    for (int i = 0; i < count; i++) {
      service.write("w" + i);
    }
  }

  /** Guards against a refusal at once, because the expected wait may be too high. */
  @Test
  public void aRequestWithATooLongExpectedWaitIsNotRefusedAtOnce() {
    ScriptedService service = afterLongHolds();
    service.workMillis = SHORT_WORK_MILLIS;
    write(service, 100);
    assertEquals(service.answers.size(), 0, "no request is refused at once");
    service.pass(200);
    assertEquals(service.completed(), 100);
  }

  @Test
  public void aRequestWithATooLongExpectedWaitIsRefusedWithinAQuarterOfTheTarget() {
    ScriptedService service = afterLongHolds();
    service.workMillis = 10 * LONG_WORK_MILLIS;
    write(service, 100);
    service.pass(ScriptedService.TARGET_MILLIS / 4);
    assertTrue(service.answers.size() > 20, service.answers.size() + " are answered");
    assertTrue(service.answers.stream().allMatch(each -> each.code() == AnswerCode.BUSY));
    assertTrue(service.answers.get(0).text().contains("retry-after-ms="));
  }

  @Test
  public void aFullQueueRefusesAtOnce() {
    ScriptedService service = new ScriptedService();
    service.write("first");
    service.pass(50);
    service.answers.clear();
    write(service, LINKS + MAX_WAITING + 5);
    assertTrue(service.answers.size() >= 5, service.answers.size() + " are refused");
    assertTrue(service.answers.stream().allMatch(each -> each.code() == AnswerCode.BUSY));
  }

  @Test
  public void aWaitForAPrimaryDoesNotShortenTheWaitForALink() {
    ScriptedService service = new ScriptedService();
    service.removeMembers();
    service.write("w");
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 100);
    assertEquals(service.answers.size(), 0, "it waits for a primary");
    service.registerMembers();
    service.pass(100);
    assertEquals(service.completed(), 1);
  }

  @Test
  public void whileTheMemberTakesNoConnectionsRequestsWaitForOne() {
    ScriptedService service = withoutRoomForConnections();
    service.write("w");
    service.pass(250);
    assertEquals(service.answers.size(), 0, "the member may accept connections soon");
    service.setFull(false);
    service.pass(300);
    assertEquals(service.completed(), 1);
  }

  @Test
  public void whileTheMemberTakesNoConnectionsRequestsWaitNoLongerThanForALink() {
    ScriptedService service = withoutRoomForConnections();
    service.write("w");
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 10);
    assertEquals(service.answers.size(), 1);
    assertEquals(service.answers.get(0).code(), AnswerCode.BUSY);
  }
}
