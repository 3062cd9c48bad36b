package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.streamcourse.process.ScriptedProxy.Caller;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.RouteConsistency;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what callers see while a statement proxy stops as planned, within 6 s. */
public class StatementProxyStopTest {
  private static final long GRACE_MILLIS = 6_000;

  /** Longer than the whole stop. */
  private static final long ENDLESS_WORK_MILLIS = 60_000;

  private ScriptedProxy proxy;
  private StatementProxyStop stop;
  private long stopStartedMillis;
  private boolean exited;

  @BeforeMethod
  public void startProxy() {
    proxy = new ScriptedProxy();
    proxy.addService("s", 100);
    proxy.replaceRoutes(
        ScriptedProxy.route("short", "s", RouteConsistency.PRIMARY, 1_000),
        ScriptedProxy.route("long", "s", RouteConsistency.BOUNDED_STALENESS, 3_000),
        ScriptedProxy.route("endless", "s", RouteConsistency.PRIMARY, ENDLESS_WORK_MILLIS));
    exited = false;
  }

  private void startStop() {
    stop = new StatementProxyStop(proxy.node, GRACE_MILLIS);
    stopStartedMillis = proxy.worker.now();
  }

  /** Lets time pass until a time after the start of the stop, or until the process exits. */
  private void runUntil(long millis) {
    while (!exited && proxy.worker.now() < stopStartedMillis + millis) {
      long rest = stopStartedMillis + millis - proxy.worker.now();
      proxy.pass(Math.min(rest, StatementProxyStop.POLL_MILLIS));
      exited = stop.advance();
    }
  }

  private void runUntilExit() {
    runUntil(GRACE_MILLIS);
    assertTrue(exited, "the process exits within the grace period");
  }

  /** Opens a session with a transaction that has run a statement. */
  private Caller openTransaction(String database, String begin, String first) {
    Caller caller = proxy.open(database);
    caller.send(begin);
    caller.send(first);
    proxy.pass(100);
    assertEquals(caller.last().state(), SessionState.TRANSACTION, caller.answers.toString());
    return caller;
  }

  private static void assertPromiseWithRetryTime(Answer answer, AnswerCode code) {
    assertEquals(answer.code(), code, answer.toString());
    assertTrue(answer.text().contains("stopping; retry-after-ms="), answer.text());
  }

  /**
   * Guards against a lost answer: a transaction whose statement was running at half of the grace
   * period went on until the process exited in the middle of a later statement (review 3, LOST).
   */
  @Test
  public void transactionBusyAtHalfOfTheGracePeriodIsAbortedWithAnAnswer() {
    Caller caller = openTransaction("long", "BEGIN READ", "READ a");
    proxy.workMillis = 400;
    startStop();
    for (long at : List.of(200L, 1_500L, 2_750L)) {
      runUntil(at);
      caller.send("READ at " + at);
      runUntil(at + 450);
      assertEquals(caller.lastCode(), AnswerCode.COMPLETE, "sent at " + at);
    }
    runUntil(4_850);
    caller.send("READ late");
    assertEquals(caller.unanswered(), 0, "refused at once");
    assertPromiseWithRetryTime(caller.last(), AnswerCode.ABORTED);
    assertEquals(caller.last().state(), SessionState.FAILED);
    caller.send("ROLLBACK");
    assertEquals(caller.last().state(), SessionState.IDLE);
    assertTrue(caller.closed, "the session ends with its transaction");
    runUntilExit();
  }

  /** Guards against a silent end of a transaction that is idle at half of the grace period. */
  @Test
  public void transactionIdleAtHalfOfTheGracePeriodIsAbortedWithAnAnswer() {
    Caller caller = openTransaction("long", "BEGIN READ", "READ a");
    Caller silent = openTransaction("long", "BEGIN READ", "READ a");
    startStop();
    runUntil(3_400);
    assertFalse(caller.closed);
    caller.send("READ late");
    assertPromiseWithRetryTime(caller.last(), AnswerCode.ABORTED);
    runUntilExit();
    assertTrue(silent.closed);
    assertPromiseWithRetryTime(silent.refusal, AnswerCode.ABORTED);
  }

  /** Guards against statements that are queued behind a running one and get no answer. */
  @Test
  public void queuedStatementsAreAnsweredInOrder() {
    Caller inTransaction = openTransaction("short", "BEGIN", "WRITE a");
    Caller alone = proxy.open("short");
    proxy.workMillis = 400;
    startStop();
    runUntil(2_750);
    for (String text : List.of("WRITE b", "READ c", "READ d", "COMMIT")) {
      inTransaction.send(text);
    }
    runUntil(3_300);
    assertEquals(inTransaction.unanswered(), 0);
    List<Answer> answers = inTransaction.answers.subList(2, 6);
    assertEquals(answers.get(0).code(), AnswerCode.COMPLETE, "it was running");
    assertPromiseWithRetryTime(answers.get(1), AnswerCode.ABORTED);
    assertEquals(answers.get(2).code(), AnswerCode.MALFORMED, "the transaction has failed");
    assertEquals(answers.get(3).code(), AnswerCode.ABORTED);
    assertEquals(proxy.member("s-primary").ran, List.of("WRITE a", "WRITE b"));
    assertTrue(alone.closed, "an idle session ends once callers go elsewhere");
    assertNull(alone.refusal);
    runUntilExit();
  }

  @Test
  public void statementsQueuedOutsideATransactionAreRefusedAfterHalfOfTheGracePeriod() {
    Caller caller = proxy.open("short");
    proxy.workMillis = 700;
    startStop();
    runUntil(2_250);
    for (String text : List.of("WRITE a", "WRITE b", "BEGIN", "WRITE c")) {
      caller.send(text);
    }
    runUntil(3_900);
    assertEquals(caller.unanswered(), 0);
    assertEquals(caller.answers.get(0).code(), AnswerCode.COMPLETE);
    assertEquals(caller.answers.get(1).code(), AnswerCode.COMPLETE, "begun at 2.95 s");
    assertPromiseWithRetryTime(caller.answers.get(2), AnswerCode.BUSY);
    assertPromiseWithRetryTime(caller.answers.get(3), AnswerCode.BUSY);
    assertEquals(proxy.member("s-primary").ran, List.of("WRITE a", "WRITE b"));
    assertTrue(caller.closed);
    runUntilExit();
  }

  /** A commit ends its transaction, and its time-out leaves time for the answer. */
  @Test
  public void commitRunsWhileItsTimeOutEndsBeforeTheExit() {
    Caller inTime = openTransaction("short", "BEGIN", "WRITE a");
    Caller late = openTransaction("short", "BEGIN", "WRITE b");
    Caller longTimeOut = openTransaction("endless", "BEGIN", "WRITE c");
    startStop();
    runUntil(3_500);
    inTime.send("COMMIT");
    longTimeOut.send("COMMIT");
    runUntil(4_200);
    assertEquals(inTime.lastCode(), AnswerCode.COMPLETE);
    assertPromiseWithRetryTime(longTimeOut.last(), AnswerCode.ABORTED);
    late.send("COMMIT");
    assertPromiseWithRetryTime(late.last(), AnswerCode.ABORTED);
    assertEquals(late.last().state(), SessionState.IDLE);
    runUntilExit();
    assertEquals(proxy.member("s-primary").ran.stream().filter("COMMIT"::equals).count(), 1);
    assertEquals(proxy.member("s-primary").position().position(), 101);
  }

  /** Guards against connections that close with an answer outstanding when the process exits. */
  @Test
  public void everythingOutstandingIsAnsweredBeforeTheExit() {
    Caller commits = openTransaction("endless", "BEGIN", "WRITE a");
    Caller reads = openTransaction("endless", "BEGIN", "WRITE b");
    Caller commitsNothing = openTransaction("endless", "BEGIN", "READ c");
    proxy.workMillis = ENDLESS_WORK_MILLIS;
    startStop();
    runUntil(2_700);
    commits.send("COMMIT");
    commits.send("READ queued");
    reads.send("READ d");
    commitsNothing.send("COMMIT");
    runUntilExit();
    assertEquals(commits.answers.get(2).code(), AnswerCode.OUTCOME_UNKNOWN);
    assertPromiseWithRetryTime(commits.answers.get(3), AnswerCode.BUSY);
    assertPromiseWithRetryTime(reads.last(), AnswerCode.ABORTED);
    assertPromiseWithRetryTime(commitsNothing.last(), AnswerCode.ABORTED);
    for (Caller caller : List.of(commits, reads, commitsNothing)) {
      assertEquals(caller.unanswered(), 0);
      assertTrue(caller.closed);
    }
  }

  @Test
  public void singleStatementsRunningAtTheExitAreAnswered() {
    Caller writes = proxy.open("endless");
    Caller reads = proxy.open("endless");
    proxy.workMillis = ENDLESS_WORK_MILLIS;
    startStop();
    runUntil(2_200);
    writes.send("WRITE a");
    reads.send("READ b");
    runUntilExit();
    assertEquals(writes.lastCode(), AnswerCode.OUTCOME_UNKNOWN);
    assertFalse(writes.last().text().contains("retry-after"), "it may have run");
    assertPromiseWithRetryTime(reads.last(), AnswerCode.TIMEOUT);
  }
}
