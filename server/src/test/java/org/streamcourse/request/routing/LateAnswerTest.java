package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.request.statement.AnswerCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Members that accept connections and statements but answer late or never. */
public class LateAnswerTest {
  /**
   * Limit for half of the target latency, after which a read is sent to a second member. The whole
   * target cannot be tested, because the route's time-out is shorter.
   */
  private static final long IN_TIME_MILLIS = ScriptedService.TARGET_MILLIS * 6 / 10;

  private static final int WARM_READS = 30;

  /**
   * Number of concurrent reads; both replicas get some, and the retry budget covers those of one.
   */
  private static final int CONCURRENT_READS = 6;

  private static ScriptedService warm() {
    ScriptedService service = new ScriptedService();
    for (int i = 0; i < WARM_READS; i++) {
      service.read("warm" + i);
      service.pass(50);
    }
    assertEquals(service.completed("warm"), WARM_READS);
    return service;
  }

  @DataProvider
  public Object[][] replicas() {
    return new Object[][] {{ScriptedService.FIRST_REPLICA}, {ScriptedService.SECOND_REPLICA}};
  }

  /** Guards against a read that waits at a hung replica until its time-out. */
  @Test(dataProvider = "replicas")
  public void aReadAtAHungReplicaIsRetriedElsewhereWithinItsTarget(String replica) {
    ScriptedService service = warm();
    service.hung.add(replica);
    service.tookMillis.clear();
    for (int i = 0; i < CONCURRENT_READS; i++) {
      service.read("late" + i);
    }
    service.pass(2_000);
    assertEquals(service.completed("late"), CONCURRENT_READS);
    long longest = Collections.max(service.tookMillis);
    assertTrue(longest <= IN_TIME_MILLIS, longest + " ms");
  }

  @Test
  public void aWriteIsNeverRepeated() {
    ScriptedService service = warm();
    service.hung.add(ScriptedService.PRIMARY);
    service.write("w");
    service.pass(2_000);
    assertEquals(
        service.count(ScriptedService.PRIMARY, MemberCommand.Run.class),
        distinctRunsAtPrimary(service));
    long inDoubt =
        service.answers.stream().filter(each -> each.code() == AnswerCode.OUTCOME_UNKNOWN).count();
    assertEquals(inDoubt, 1);
  }

  /** Returns the number of distinct statements that the primary was sent. */
  private static long distinctRunsAtPrimary(ScriptedService service) {
    return service.commands.get(ScriptedService.PRIMARY).stream()
        .filter(MemberCommand.Run.class::isInstance)
        .map(each -> ((MemberCommand.Run) each).id())
        .distinct()
        .count();
  }

  /** Guards against retries that overload members further when all members become slow at once. */
  @Test
  public void retriesStayASmallShareOfTheLoad() {
    ScriptedService service = warm();
    long before = runs(service);
    service.workMillis = 300;
    int reads = 200;
    for (int i = 0; i < reads; i++) {
      service.read("slow" + i);
      service.pass(40);
    }
    service.pass(3_000);
    long repeated = runs(service) - before - reads;
    assertTrue(repeated <= reads / 10 + 4, repeated + " retries of " + reads);
  }

  private static long runs(ScriptedService service) {
    return ScriptedService.MEMBERS.stream()
        .mapToLong(member -> service.count(member, MemberCommand.Run.class))
        .sum();
  }

  /** Guards against a connection that is closed although its late answer arrives in the end. */
  @Test
  public void theLinkOfALateAnswerIsUsedAgain() {
    ScriptedService service = warm();
    service.workMillis = 400;
    service.read("late");
    service.pass(10);
    String member = memberOf(service, "late");
    long opened = service.count(member, MemberCommand.Introduce.class);
    service.pass(1_000);
    service.workMillis = ScriptedService.FIRST_WORK_MILLIS;
    for (int i = 0; i < WARM_READS; i++) {
      service.read("after" + i);
      service.pass(50);
    }
    assertEquals(service.completed("after"), WARM_READS);
    assertEquals(service.count(member, MemberCommand.Introduce.class), opened, member);
  }

  private static String memberOf(ScriptedService service, String id) {
    return ScriptedService.MEMBERS.stream()
        .filter(member -> runs(service, member, id) > 0)
        .findFirst()
        .orElseThrow();
  }

  private static long runs(ScriptedService service, String member, String id) {
    return service.commands.get(member).stream()
        .filter(MemberCommand.Run.class::isInstance)
        .filter(each -> ((MemberCommand.Run) each).id().value().equals(id))
        .count();
  }
}
