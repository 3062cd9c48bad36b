package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.testng.annotations.Test;

/** Connections to members that go silent without a reset, while new ones work. */
public class SilentConnectionTest {
  private static final long CHECK_MILLIS = 100;

  /** Time within which a node has replaced its silent connections. */
  private static final long REPLACED_MILLIS = 1_500;

  private static void pass(ScriptedService service, long millis) {
    for (long passed = 0; passed < millis; passed += CHECK_MILLIS) {
      service.pass(CHECK_MILLIS);
      service.table.checkHealth();
    }
  }

  /**
   * Guards against a member without connections: each link whose rollback was sent into a silent
   * connection stayed in use for good, and in the end the node had no other link to the primary.
   */
  @Test
  public void linksWhoseRollbackIsUnansweredAreReplaced() {
    ScriptedService service = new ScriptedService();
    for (int i = 0; i < ScriptedService.CONNECTIONS; i++) {
      service.begin("t" + i);
      pass(service, 200);
    }
    List<MemberLink> open = List.copyOf(service.opened);
    MemberLinks links = service.linksTo(ScriptedService.PRIMARY);
    assertEquals(links.used(), links.links(), "all links are in use");
    service.silenceConnections();
    open.forEach(links::releaseRolledBack);
    pass(service, REPLACED_MILLIS);
    service.write("w");
    pass(service, 500);
    assertEquals(service.completed("w"), 1);
    assertEquals(links.used(), 0);
  }

  /**
   * Guards against a node that serves no bounded reads: the one probe of the primary's position,
   * for which all reads wait, was sent into a silent connection and never ended.
   */
  @Test
  public void aPositionProbeOnASilentConnectionEnds() {
    ScriptedService service = new ScriptedService();
    service.read("r0");
    pass(service, 3_000);
    service.silenceConnections();
    service.read("r1");
    pass(service, REPLACED_MILLIS);
    int before = service.answers.size();
    for (int i = 0; i < 10; i++) {
      service.read("later" + i);
      pass(service, 100);
    }
    pass(service, 500);
    assertEquals(service.completed("later"), 10, "answers before: " + before);
  }

  /**
   * Guards against one time-out for each idle connection: after the first statement without an
   * answer, the idle connections of the same age are not used any more.
   */
  @Test
  public void oneTimeoutReplacesTheIdleConnectionsOfTheMember() {
    ScriptedService service = new ScriptedService();
    for (int i = 0; i < 6; i++) {
      service.write("warm" + i);
    }
    pass(service, 3_000);
    service.silenceConnections();
    service.write("lost");
    pass(service, 1_500);
    for (int i = 0; i < 6; i++) {
      service.write("later" + i);
      pass(service, 200);
    }
    assertEquals(service.completed("later"), 6);
  }

  /** Guards against replacing connections whose statements are only slow. */
  @Test
  public void aStatementThatWorksForLongKeepsItsConnection() {
    ScriptedService service = new ScriptedService();
    service.write("warm");
    pass(service, 200);
    long opened = service.count(ScriptedService.PRIMARY, MemberCommand.Introduce.class);
    service.workMillis = 700;
    service.write("slow");
    pass(service, 800);
    assertEquals(service.completed("slow"), 1);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.Introduce.class), opened);
  }
}
