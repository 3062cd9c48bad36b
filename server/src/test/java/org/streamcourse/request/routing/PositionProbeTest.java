package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.streamcourse.connection.member.MemberCommand;
import org.testng.annotations.Test;

/** A node that has just started does not send all its reads to the primary. */
public class PositionProbeTest {
  private static final int READS = 12;

  @Test
  public void readsOfANodeThatHasJustStartedAreSharedAmongTheMembers() {
    ScriptedService service = new ScriptedService();
    for (int i = 0; i < READS; i++) {
      service.read("r" + i);
    }
    service.pass(400);
    assertEquals(service.completed(), READS);
    assertEquals(
        service.count(ScriptedService.PRIMARY, MemberCommand.BeginTransaction.class),
        1,
        "the primary is asked once for all");
    assertTrue(service.count(ScriptedService.FIRST_REPLICA, MemberCommand.Run.class) > 0);
    assertTrue(service.count(ScriptedService.SECOND_REPLICA, MemberCommand.Run.class) > 0);
  }

  @Test
  public void theQuestionLeavesNoTransactionOpen() {
    ScriptedService service = new ScriptedService();
    service.read("r");
    service.pass(400);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class), 1);
  }
}
