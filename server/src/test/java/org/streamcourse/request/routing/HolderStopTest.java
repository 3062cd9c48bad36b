package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.member.CommandListener;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.relay.RelayServer;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.StatementId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests statements of other nodes at holders of member connections that stop as planned. */
public class HolderStopTest {
  private static final int NODES = 12;
  private static final long ONE_WAY_MILLIS = 2;
  private static final long LONG_WORK_MILLIS = 400;

  private RelayFleet fleet;
  private ScriptedService service;
  private RelayFleet.Node origin;

  @BeforeMethod
  public void startFleet() {
    fleet = new RelayFleet(NODES, ONE_WAY_MILLIS);
    service = fleet.service;
    origin = fleet.nodes().stream().filter(node -> !node.holdsPrimary()).findFirst().orElseThrow();
  }

  /** Returns the holder on which the only stream is. */
  private RelayServer holder() {
    return fleet.nodes().stream()
        .map(RelayFleet.Node::server)
        .filter(server -> server.streams() > 0)
        .findFirst()
        .orElseThrow();
  }

  private long rollBacks() {
    return service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class);
  }

  /** Records how the statements of a transaction ended. */
  private static final class Outcome implements CommandListener {
    private final List<Answer> answers = new ArrayList<>();
    private int lost;

    @Override
    public void answered(Answer answer) {
      answers.add(answer);
    }

    @Override
    public void lost(String cause) {
      lost++;
    }
  }

  private static void run(MemberLink link, String text, CommandListener listener) {
    link.run(new MemberCommand.Run(new StatementId(text), text, null), listener);
  }

  /**
   * Guards against a relayed transaction that goes on at a stopping holder until the process exits
   * in the middle of a statement, whose outcome is in doubt then.
   */
  @Test
  public void aRelayedTransactionIsAbortedWithAnAnswerAtAStoppingHolder() {
    origin.begin("t");
    service.pass(50);
    MemberLink link = service.opened.get(0);
    service.workMillis = LONG_WORK_MILLIS;
    Outcome outcome = new Outcome();
    run(link, "READ running", outcome);
    service.pass(50);
    RelayServer holder = holder();
    holder.stopAccepting();
    holder.refuseSteps();
    service.pass(LONG_WORK_MILLIS);
    assertEquals(outcome.answers.size(), 1);
    assertTrue(outcome.answers.get(0).isComplete(), "the running statement is answered");
    run(link, "COMMIT", outcome);
    service.pass(50);
    assertEquals(outcome.lost, 0);
    assertEquals(outcome.answers.size(), 2, "refused at once");
    Answer refusal = outcome.answers.get(1);
    assertEquals(refusal.code(), AnswerCode.ABORTED);
    assertTrue(refusal.text().contains("retry-after-ms="), refusal.text());
    assertEquals(rollBacks(), 1);
    assertEquals(holder.streams(), 0);
  }

  /** Guards against a write in doubt that only waited at a holder when its process exited. */
  @Test
  public void aWriteThatWaitsAtAHolderIsRunElsewhereWhenItsProcessExits() {
    service.workMillis = LONG_WORK_MILLIS;
    int sent = ScriptedService.SLOTS + 1;
    for (int i = 0; i < sent; i++) {
      origin.write("w" + i);
    }
    service.pass(50);
    RelayServer holder = holder();
    holder.stopAccepting();
    holder.endStreams();
    service.pass(50);
    long inDoubt =
        service.answers.stream().filter(each -> each.code() == AnswerCode.OUTCOME_UNKNOWN).count();
    assertEquals(inDoubt, ScriptedService.SLOTS, "writes that the member runs");
    assertEquals(holder.streams(), 0);
    service.pass(2_000);
    assertEquals(service.answers.size(), sent);
    assertEquals(service.completed() + inDoubt, sent, "the other one ran at another holder");
  }
}
