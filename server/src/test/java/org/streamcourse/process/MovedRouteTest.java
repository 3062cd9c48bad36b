package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.streamcourse.process.ScriptedProxy.Caller;
import org.streamcourse.process.ScriptedProxy.Member;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a session and its node keep when a database's route moves to another service. */
public class MovedRouteTest {
  private static final long FIRST_END = 9_000;
  private static final long SECOND_END = 4_000;
  private static final long TIMEOUT_MILLIS = 1_000;

  private ScriptedProxy proxy;
  private Member secondPrimary;
  private Member secondReplica;

  @BeforeMethod
  public void startProxy() {
    proxy = new ScriptedProxy();
    proxy.addService("first", FIRST_END);
    proxy.addService("second", SECOND_END);
    secondPrimary = proxy.member("second-primary");
    secondReplica = proxy.member("second-replica");
    route("first", TIMEOUT_MILLIS);
  }

  /** Routes the databases "moved" and "movedself" to a service; other routes stay. */
  private void route(String service, long timeoutMillis) {
    proxy.replaceRoutes(
        ScriptedProxy.route("moved", service, RouteConsistency.PRIMARY, timeoutMillis),
        ScriptedProxy.route("movedself", service, RouteConsistency.SESSION, timeoutMillis),
        stable("firstprimary", "first", RouteConsistency.PRIMARY),
        stable("secondprimary", "second", RouteConsistency.PRIMARY),
        stable("secondstale", "second", RouteConsistency.BOUNDED_STALENESS));
  }

  private static RouteRule stable(String database, String service, RouteConsistency consistency) {
    return ScriptedProxy.route(database, service, consistency, TIMEOUT_MILLIS);
  }

  private Caller run(String database, String... texts) {
    Caller caller = proxy.open(database);
    run(caller, texts);
    return caller;
  }

  private void run(Caller caller, String... texts) {
    for (String text : texts) {
      caller.send(text);
      proxy.pass(50);
      assertEquals(caller.lastCode(), AnswerCode.COMPLETE, caller.last().toString());
    }
  }

  /**
   * Guards against a stale read: the commit of a transaction that was open when its route moved was
   * recorded as a log position of the new service, and a bounded read there ran at a replica that
   * lacked a commit acknowledged seconds before (review 2, STALE).
   */
  @Test
  public void commitOfAMovedRouteIsNoFloorForReadsOfTheNewService() {
    // The former position of the first service is lower than that of the second one's replica.
    proxy = new ScriptedProxy();
    proxy.addService("first", 100);
    proxy.addService("second", SECOND_END);
    secondReplica = proxy.member("second-replica");
    route("first", TIMEOUT_MILLIS);
    secondReplica.turnDeaf();
    run("secondprimary", "WRITE price");
    Caller mover = run("moved", "BEGIN", "WRITE licence");
    proxy.pass(2_500);
    route("second", TIMEOUT_MILLIS);
    proxy.pass(800);
    run(mover, "COMMIT");
    run("secondstale", "READ price");
    assertTrue(secondReplica.ran.isEmpty(), "it lacks a commit acknowledged 3.3 s before");
    assertEquals(proxy.member("second-primary").ran, List.of("WRITE price", "READ price"));
    assertEquals(proxy.member("first-primary").ran, List.of("WRITE licence", "COMMIT"));
  }

  /**
   * Guards against floors that no member can reach: a session's commit in another service's log.
   */
  @Test
  public void ownCommitIsAFloorOnlyInTheLogThatItWasWrittenTo() {
    Caller caller = run("movedself", "WRITE a");
    route("second", TIMEOUT_MILLIS);
    run(caller, "READ b");
    assertEquals(secondReplica.floor, new TermPosition(3, SECOND_END));
    run(caller, "WRITE c", "READ c");
    assertEquals(secondReplica.floor, new TermPosition(3, SECOND_END + 1));
    route("first", TIMEOUT_MILLIS);
    run(caller, "READ a");
    assertEquals(proxy.member("first-replica").floor, new TermPosition(3, FIRST_END + 1));
  }

  /** Guards against a transaction that runs under a route other than the one that opened it. */
  @Test
  public void openTransactionKeepsItsRouteUntilItsEnd() {
    Caller mover = run("moved", "BEGIN", "WRITE a");
    route("second", 50);
    proxy.workMillis = 200;
    mover.send("WRITE b");
    proxy.pass(300);
    assertEquals(mover.lastCode(), AnswerCode.COMPLETE, "the time-out is that of its route");
    mover.send("COMMIT");
    proxy.pass(300);
    assertEquals(mover.lastCode(), AnswerCode.COMPLETE);
    assertTrue(secondPrimary.ran.isEmpty());
    mover.send("WRITE c");
    proxy.pass(300);
    assertEquals(mover.lastCode(), AnswerCode.OUTCOME_UNKNOWN, "the new route's time-out");
  }
}
