package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamcourse.connection.member.MemberCommand;
import org.testng.annotations.Test;

/** What one node has seen of a member keeps the reads of others from it. */
public class SharedMemberStateTest {
  private static final int NODES = 40;
  private static final long WAY_MILLIS = 5;

  /** Reads that meet a hung member before others know: those of some 500 ms, and repeats. */
  private static final int MOST_AT_HUNG = 45;

  private static final int STEP_MILLIS = 10;

  private static long runsAt(ScriptedService service, String member) {
    return service.count(member, MemberCommand.Run.class);
  }

  /** Each node reads about twice a second, and finds little out by itself. */
  @Test
  public void aHungMemberIsLeftOutByNodesThatHaveNotMetIt() {
    RelayFleet fleet = new RelayFleet(NODES, WAY_MILLIS);
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
    long met = hungRuns(service) - before;
    assertTrue(met <= MOST_AT_HUNG, met + " of " + reads + " reads met a hung member");
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

  /** Replicas lag, the primary's connections are all in use, and its queue is long. */
  @Test
  public void writesGoBeforeReadsThatReplicasCouldServe() {
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
