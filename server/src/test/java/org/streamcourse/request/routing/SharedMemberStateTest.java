package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamcourse.connection.member.MemberCommand;
import org.testng.annotations.Test;

/** Tests that nodes use the observations of other nodes when they choose a member. */
public class SharedMemberStateTest {
  private static final int NODES = 40;
  private static final long ONE_WAY_MILLIS = 5;

  /**
   * Most reads sent to hung members: those of about 500 ms, until all nodes are notified, and
   * retries.
   */
  private static final int MAX_READS_AT_HUNG = 45;

  private static final int STEP_MILLIS = 10;

  private static long runsAt(ScriptedService service, String member) {
    return service.count(member, MemberCommand.Run.class);
  }

  /** Each node reads about twice a second, too seldom to detect a hung member by itself. */
  @Test
  public void nodesAvoidAHungMemberThatOthersHaveDetected() {
    RelayFleet fleet = new RelayFleet(NODES, ONE_WAY_MILLIS);
    ScriptedService service = fleet.service;
    service.workMillis = 5;
    List<RelayFleet.Node> nodes = fleet.nodes();
    Random random = new Random(1);
    read(fleet, nodes, random, "warm", 3_000);
    service.hung.add(ScriptedService.FIRST_REPLICA);
    service.hung.add(ScriptedService.SECOND_REPLICA);
    long before = hungRuns(service);
    int reads = read(fleet, nodes, random, "late", 4_000);
    service.pass(2_000);
    long atHung = hungRuns(service) - before;
    assertTrue(
        atHung <= MAX_READS_AT_HUNG, atHung + " of " + reads + " reads were sent to a hung member");
    long served = service.completed("late");
    assertTrue(served >= reads * 0.95, served + " of " + reads + " are served");
  }

  private static long hungRuns(ScriptedService service) {
    return runsAt(service, ScriptedService.FIRST_REPLICA)
        + runsAt(service, ScriptedService.SECOND_REPLICA);
  }

  private static int read(
      RelayFleet fleet, List<RelayFleet.Node> nodes, Random random, String word, int millis) {
    int reads = 0;
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      if (random.nextInt(10) < 8) {
        nodes.get(random.nextInt(nodes.size())).read(word + reads);
        reads++;
      }
      fleet.service.pass(STEP_MILLIS);
    }
    return reads;
  }

  /** Replicas lag, all connections of the primary are in use, and its queue is long. */
  @Test
  public void writesAreGrantedLinksBeforeReadsThatReplicasCouldServe() {
    ScriptedService service = new ScriptedService();
    for (int i = 0; i < 10; i++) {
      service.write("w" + i);
      service.read("warm" + i);
      service.pass(50);
    }
    service.lagMillis.put(ScriptedService.FIRST_REPLICA, 60_000L);
    service.lagMillis.put(ScriptedService.SECOND_REPLICA, 60_000L);
    for (int i = 0; i < 40; i++) {
      service.write("v" + i);
      service.read("known" + i);
      service.pass(60);
    }
    service.workMillis = 50;
    int before = service.answers.size();
    List<Integer> writesAt = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      service.read("flood" + i);
    }
    for (int i = 0; i < 5; i++) {
      service.write("urgent" + i);
    }
    service.pass(1_000);
    for (int i = before; i < service.answers.size(); i++) {
      if (service.answers.get(i).text().contains("urgent")) {
        writesAt.add(i - before);
      }
    }
    assertEquals(writesAt.size(), 5);
    int links = ScriptedService.CONNECTIONS - 1;
    assertTrue(writesAt.get(4) < 2 * links + 5, "writes were answered as number " + writesAt);
  }
}
