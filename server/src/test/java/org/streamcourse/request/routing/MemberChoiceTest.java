package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.testng.annotations.Test;

/** Tests the choice among three members for a read. */
public class MemberChoiceTest {
  private static final MemberId PRIMARY = new MemberId("i-1");
  private static final MemberId FIRST = new MemberId("i-2");
  private static final MemberId SECOND = new MemberId("i-3");

  private static MemberChoice.Candidate member(
      MemberId id, double answerMillis, long queueMillis, long catchUpMillis, long silentMillis) {
    return new MemberChoice.Candidate(
        id, id.equals(PRIMARY), answerMillis, 0, queueMillis, catchUpMillis, silentMillis);
  }

  private static MemberId chosen(MemberChoice.Candidate... candidates) {
    return MemberChoice.choose(List.of(candidates), TenantId.NONE).chosen().id();
  }

  @Test
  public void aNearReplicaIsChosen() {
    assertEquals(
        chosen(
            member(PRIMARY, 12, 0, 0, 0), member(FIRST, 15, 0, 0, 0), member(SECOND, 55, 0, 0, 0)),
        FIRST);
  }

  @Test
  public void aReadWaitsAFewMillisecondsForANearReplica() {
    assertEquals(
        chosen(
            member(PRIMARY, 55, 0, 0, 0), member(FIRST, 15, 0, 20, 0), member(SECOND, 55, 0, 0, 0)),
        FIRST);
  }

  @Test
  public void aReplicaThatIsFarBehindIsNotChosen() {
    assertEquals(
        chosen(
            member(PRIMARY, 12, 0, 0, 0),
            member(FIRST, 15, 0, 2_000, 0),
            member(SECOND, 15, 0, 2_000, 0)),
        PRIMARY);
  }

  /** The primary keeps its capacity for writes. */
  @Test
  public void thePrimaryIsChosenOnlyIfItIsMuchFaster() {
    assertEquals(chosen(member(PRIMARY, 30, 0, 0, 0), member(FIRST, 50, 0, 0, 0)), FIRST);
    assertEquals(chosen(member(PRIMARY, 20, 0, 0, 0), member(FIRST, 50, 0, 0, 0)), PRIMARY);
  }

  /** With a queue at the primary, a read waits for a replica that catches up soon. */
  @Test
  public void withAQueueAtThePrimaryTheReplicaThatCatchesUpFirstIsChosen() {
    assertEquals(
        chosen(
            member(PRIMARY, 12, 200, 0, 0),
            member(FIRST, 15, 0, 300, 0),
            member(SECOND, 15, 0, 250, 0)),
        SECOND);
  }

  @Test
  public void anUnresponsiveMemberIsNotChosen() {
    assertEquals(chosen(member(FIRST, 15, 0, 0, 400), member(SECOND, 60, 0, 0, 0)), SECOND);
  }

  @Test
  public void theOnlyMemberIsAlwaysChosen() {
    assertEquals(chosen(member(FIRST, 15, 0, 9_000, 9_000)), FIRST);
    assertNull(MemberChoice.choose(List.of(), TenantId.NONE));
  }

  private static MemberId chosenFor(TenantId tenant, double firstMillis, double secondMillis) {
    return MemberChoice.choose(
            List.of(
                member(PRIMARY, 15, 0, 0, 0),
                member(FIRST, firstMillis, 0, 0, 0),
                member(SECOND, secondMillis, 0, 0, 0)),
            tenant)
        .chosen()
        .id();
  }

  /** All nodes prefer the same replica for a tenant, and tenants are spread over both replicas. */
  @Test
  public void readsOfATenantGoToOneReplicaAndTenantsAreSpread() {
    Map<MemberId, Integer> counts = new HashMap<>();
    for (int i = 0; i < 86; i++) {
      TenantId tenant = new TenantId("t" + i);
      MemberId preferred = chosenFor(tenant, 15, 15);
      counts.merge(preferred, 1, Integer::sum);
      assertEquals(
          chosenFor(tenant, 18, 15),
          preferred,
          "small differences in answer time do not change the replica");
      assertEquals(
          chosenFor(tenant, 15, 18),
          preferred,
          "small differences in answer time do not change the replica");
    }
    assertTrue(counts.get(FIRST) > 25 && counts.get(SECOND) > 25, counts.toString());
  }

  @Test
  public void aSlowPreferredReplicaIsNotChosen() {
    TenantId tenant = new TenantId("t1");
    MemberId preferred = chosenFor(tenant, 15, 15);
    boolean first = preferred.equals(FIRST);
    assertNotEquals(chosenFor(tenant, first ? 60 : 15, first ? 15 : 60), preferred);
  }
}
