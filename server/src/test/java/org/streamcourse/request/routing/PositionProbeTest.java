package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.streamcourse.connection.member.MemberCommand;
import org.testng.annotations.Test;

/** Guards against a node that sends all its reads to the primary after its start. */
public class PositionProbeTest {
  private static final int READS = 12;

  @Test
  public void readsAfterTheStartOfANodeAreSpreadOverTheMembers() {
    ScriptedService service = new ScriptedService();
    for (int i = 0; i < READS; i++) {
      service.read("r" + i);
    }
    service.pass(400);
    assertEquals(service.completed(), READS);
    assertEquals(
        service.count(ScriptedService.PRIMARY, MemberCommand.BeginTransaction.class),
        1,
        "the primary is probed once for all reads");
    assertTrue(service.count(ScriptedService.FIRST_REPLICA, MemberCommand.Run.class) > 0);
    assertTrue(service.count(ScriptedService.SECOND_REPLICA, MemberCommand.Run.class) > 0);
  }

  @Test
  public void theProbeLeavesNoTransactionOpen() {
    ScriptedService service = new ScriptedService();
    service.read("r");
    service.pass(400);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class), 1);
  }
}
