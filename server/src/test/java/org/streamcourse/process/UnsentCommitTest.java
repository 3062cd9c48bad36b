package org.streamcourse.process;

import static org.testng.Assert.assertEquals;

import org.streamcourse.process.ScriptedProxy.Caller;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.RouteConsistency;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests commits whose connection to the member ends before they are sent. */
public class UnsentCommitTest {
  private ScriptedProxy proxy;
  private ScriptedProxy.Member primary;

  @BeforeMethod
  public void startProxy() {
    proxy = new ScriptedProxy();
    proxy.ownConnections();
    proxy.addService("s", 100);
    proxy.replaceRoutes(
        ScriptedProxy.route("d", "s", RouteConsistency.PRIMARY, 1_000),
        ScriptedProxy.route("long", "s", RouteConsistency.PRIMARY, 10_000));
    primary = proxy.member("s-primary");
  }

  private Caller transactionWithWrite() {
    Caller caller = proxy.open("d");
    caller.send("BEGIN");
    caller.send("WRITE a");
    proxy.pass(100);
    assertEquals(caller.last().state(), SessionState.TRANSACTION);
    return caller;
  }

  /** Guards against a commit in doubt although its connection had ended before it was sent. */
  @Test
  public void commitAfterTheLossOfTheConnectionIsAborted() {
    Caller caller = transactionWithWrite();
    primary.breakConnections();
    proxy.pass(100);
    caller.send("COMMIT");
    proxy.pass(100);
    assertEquals(caller.lastCode(), AnswerCode.ABORTED);
    assertEquals(caller.last().state(), SessionState.IDLE);
    assertEquals(primary.position().position(), 100);
  }

  /** Guards against a commit in doubt that was waiting for a slot of the member at its time-out. */
  @Test
  public void commitThatWaitsForASlotUntilItsTimeOutIsAborted() {
    Caller caller = transactionWithWrite();
    proxy.workMillis = 5_000;
    for (int i = 0; i < ScriptedProxy.SLOTS; i++) {
      proxy.open("long").send("WRITE b");
    }
    proxy.pass(100);
    caller.send("COMMIT");
    proxy.pass(1_100);
    assertEquals(caller.lastCode(), AnswerCode.ABORTED);
  }

  @Test
  public void commitThatWasSentIsInDoubtWhenTheConnectionIsLost() {
    Caller caller = transactionWithWrite();
    proxy.workMillis = 500;
    caller.send("COMMIT");
    proxy.pass(100);
    primary.breakConnections();
    proxy.pass(100);
    assertEquals(caller.lastCode(), AnswerCode.OUTCOME_UNKNOWN);
  }
}
