package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.streamcourse.connection.member.MemberCommand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replicas that lag far behind for some seconds and then catch up at once, in a fleet of many nodes
 * with few reads each. Guards against reads at members that lack their floor: no node sees enough
 * answers of a member to know its lag by itself, so nodes must share observations.
 */
public class LaggingReplicaTest {
  private static final int NODES = 40;
  private static final long ONE_WAY_MILLIS = 20;
  private static final long USUAL_LAG_MILLIS = 30;

  /** 110 times the usual lag, and longer than the staleness limit of the route. */
  private static final long LONG_LAG_MILLIS = 3_300;

  private static final int STEP_MILLIS = 10;
  private static final int READS_PER_SECOND = 90;
  private static final int WRITES_PER_SECOND = 20;

  /** Greatest share of reads that a member refuses because it lacks their floor. */
  private static final double MAX_BEHIND_SHARE = 0.02;

  /** The same when two replicas begin to lag at once, over about half of that time. */
  private static final double MAX_BOTH_BEHIND_SHARE = 0.1;

  private static final int SECOND_STEPS = 1_000 / STEP_MILLIS;

  private RelayFleet fleet;
  private List<RelayFleet.Node> nodes;
  private Random random;
  private int reads;
  private int answersBeforeLag;

  private void start(long seed) {
    fleet = new RelayFleet(NODES, ONE_WAY_MILLIS);
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

  /** Starts reads and writes at random nodes. */
  private void run(int seconds) {
    for (int step = 0; step < seconds * SECOND_STEPS; step++) {
      if (random.nextInt(SECOND_STEPS) < READS_PER_SECOND) {
        reads++;
        anyNode().read("r" + reads);
      }
      if (random.nextInt(SECOND_STEPS) < WRITES_PER_SECOND) {
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
    answersBeforeLag = fleet.service.answers.size();
    int before = reads;
    long behindBefore = fleet.service.reroutes();
    setLag(LONG_LAG_MILLIS, USUAL_LAG_MILLIS);
    run(8);
    setLag(USUAL_LAG_MILLIS, USUAL_LAG_MILLIS);
    run(4);
    fleet.service.pass(1_000);
    long behind = fleet.service.reroutes() - behindBefore;
    int during = reads - before;
    assertTrue(behind < MAX_BEHIND_SHARE * during, behind + " of " + during + " reads");
    assertEquals(String.join(" ", failures()), "");
  }

  /** Guards against an observed lag that stays in use after the replica has caught up. */
  @Test
  public void readsReturnToAReplicaThatHasCaughtUp() {
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
  public void thePrimaryServesReadsWhileAllReplicasLag() {
    start(1);
    run(3);
    answersBeforeLag = fleet.service.answers.size();
    setLag(LONG_LAG_MILLIS, LONG_LAG_MILLIS);
    long before = fleet.service.reroutes();
    int readsBefore = reads;
    run(6);
    fleet.service.pass(1_000);
    long behind = fleet.service.reroutes() - before;
    assertTrue(behind < MAX_BOTH_BEHIND_SHARE * (reads - readsBefore), behind + " reads behind");
    assertEquals(String.join(" ", failures()), "");
  }

  /** Returns the failures after the warm-up, in which the fleet opens its connections. */
  private List<String> failures() {
    return fleet.service.answers.stream()
        .skip(answersBeforeLag)
        .filter(each -> !each.isComplete())
        .map(each -> each.code() + " " + each.text())
        .toList();
  }
}
