package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.streamcourse.connection.member.MemberCommand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replicas that fall far behind for some seconds and catch up at once, while many nodes read a
 * little each, as in a fleet of some dozen nodes before several databases: no node sees enough of a
 * member by itself to know how far behind it is.
 */
public class LaggingReplicaTest {
  private static final int NODES = 40;
  private static final long WAY_MILLIS = 20;
  private static final long USUAL_LAG_MILLIS = 30;

  /** 110 times the usual lag: longer than any read of the route may be stale. */
  private static final long LONG_LAG_MILLIS = 3_300;

  private static final int STEP_MILLIS = 10;
  private static final int READS_A_SECOND = 90;
  private static final int WRITES_A_SECOND = 20;

  /** Of the reads, those that may lose a way to a member that lacks their floor. */
  private static final double MOST_BEHIND_SHARE = 0.02;

  /** The same where two replicas begin to lag at once and the span is half as long. */
  private static final double MOST_ONSET_SHARE = 0.1;

  private static final int SECOND_STEPS = 1_000 / STEP_MILLIS;

  private RelayFleet fleet;
  private List<RelayFleet.Node> nodes;
  private Random random;
  private int reads;
  private int answeredCold;

  private void start(long seed) {
    fleet = new RelayFleet(NODES, WAY_MILLIS);
    nodes = fleet.nodes();
    random = new Random(seed);
    reads = 0;
    fleet.service.workMillis = 9;
    setLag(USUAL_LAG_MILLIS, USUAL_LAG_MILLIS);
  }

  private void setLag(long first, long second) {
    fleet.service.lagMillis.put(ScriptedService.FIRST_REPLICA, first);
    fleet.service.lagMillis.put(ScriptedService.SECOND_REPLICA, second);
  }

  /** Reads and writes come to nodes at random. */
  private void run(int seconds) {
    for (int step = 0; step < seconds * SECOND_STEPS; step++) {
      if (random.nextInt(SECOND_STEPS) < READS_A_SECOND) {
        reads++;
        anyNode().read("r" + reads);
      }
      if (random.nextInt(SECOND_STEPS) < WRITES_A_SECOND) {
        anyNode().write("w" + step + '/' + reads);
      }
      fleet.service.pass(STEP_MILLIS);
    }
  }

  private RelayFleet.Node anyNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void fewReadsGoToAReplicaThatLacksTheirFloor(long seed) {
    start(seed);
    run(4);
    answeredCold = fleet.service.answers.size();
    int before = reads;
    long behindBefore = fleet.service.reroutes();
    setLag(LONG_LAG_MILLIS, USUAL_LAG_MILLIS);
    run(8);
    setLag(USUAL_LAG_MILLIS, USUAL_LAG_MILLIS);
    run(4);
    fleet.service.pass(1_000);
    long behind = fleet.service.reroutes() - behindBefore;
    int during = reads - before;
    assertTrue(behind < MOST_BEHIND_SHARE * during, behind + " of " + during + " reads");
    assertEquals(String.join(" ", failures()), "");
  }

  /** Knowledge of a lag must not outlive it. */
  @Test
  public void aReplicaThatHasCaughtUpIsReadAgain() {
    start(1);
    run(3);
    setLag(LONG_LAG_MILLIS, USUAL_LAG_MILLIS);
    run(5);
    setLag(USUAL_LAG_MILLIS, USUAL_LAG_MILLIS);
    run(1);
    long before = runAtFirstReplica();
    int readsBefore = reads;
    run(3);
    long share = (runAtFirstReplica() - before) * 100 / (reads - readsBefore);
    assertTrue(share >= 20, share + "% of the reads");
  }

  private long runAtFirstReplica() {
    return fleet.service.count(ScriptedService.FIRST_REPLICA, MemberCommand.Run.class);
  }

  @Test
  public void whileAllReplicasAreBehindThePrimaryServes() {
    start(1);
    run(3);
    answeredCold = fleet.service.answers.size();
    setLag(LONG_LAG_MILLIS, LONG_LAG_MILLIS);
    long before = fleet.service.reroutes();
    int readsBefore = reads;
    run(6);
    fleet.service.pass(1_000);
    long behind = fleet.service.reroutes() - before;
    assertTrue(behind < MOST_ONSET_SHARE * (reads - readsBefore), behind + " reads behind");
    assertEquals(String.join(" ", failures()), "");
  }

  /** Failures since the fleet has opened its connections. */
  private List<String> failures() {
    return fleet.service.answers.stream()
        .skip(answeredCold)
        .filter(each -> !each.isComplete())
        .map(each -> each.code() + " " + each.text())
        .toList();
  }
}
