package org.streamcourse.request.routing;

import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.connection.member.MemberState;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;

/**
 * Chooses the member that is expected to finish a read first. The estimate covers the member's
 * usual answer time with its statements in flight or the queue reported by its holder, and the time
 * until the member reaches the read's floor. A member that reaches the floor later than others
 * would finish is therefore not chosen; a member that is the only candidate always is.
 *
 * <p>Has no state and no clock, so that tests run the same code as production.
 */
final class MemberChoice {
  /** Cost factor of reads at the primary, which keeps its capacity for writes. */
  private static final double PRIMARY_COST_FACTOR = 2.0;

  /**
   * Added to the expected time at members other than the tenant's preferred replica. A tenant's
   * first read at a member needs a new connection, which occupies a member slot for as long.
   */
  private static final double NEW_CONNECTION_MILLIS = 12;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  /**
   * What this node knows of a member at the time of the choice.
   *
   * @param id the member
   * @param primary whether it is the primary
   * @param answerMillis expected answer time
   * @param inFlight statements of this node at the member
   * @param queueMillis expected wait for a connection
   * @param catchUpMillis expected time until the member reaches the floor
   * @param silentMillis time for which the member has left all requests unanswered
   */
  record Candidate(
      MemberId id,
      boolean primary,
      double answerMillis,
      int inFlight,
      long queueMillis,
      long catchUpMillis,
      long silentMillis) {
    /**
     * Returns the expected time to the answer, weighted by the cost factor of the primary. An
     * unresponsive member is expected to stay so for as long as it has been.
     */
    double finishMillis() {
      double unweighted = Math.max(answerMillis * (1 + inFlight), answerMillis + queueMillis);
      double weighted = primary ? unweighted * PRIMARY_COST_FACTOR : unweighted;
      return weighted + catchUpMillis + (silentMillis > MemberState.HUNG_MILLIS ? silentMillis : 0);
    }

    boolean isDelayed() {
      return catchUpMillis > 0 || silentMillis > MemberState.HUNG_MILLIS;
    }
  }

  /**
   * A chosen member.
   *
   * @param chosen the member
   * @param marginMillis how much sooner it is expected to finish than the second best candidate;
   *     very large without another candidate
   */
  record Chosen(Candidate chosen, double marginMillis) {}

  private MemberChoice() {}

  /**
   * Chooses the member for a read.
   *
   * @param candidates usable members
   * @param tenant tenant of the read; its reads go to one replica where that costs little
   * @return the chosen member, or null without candidates
   */
  static Chosen choose(List<Candidate> candidates, TenantId tenant) {
    MemberId preferred = tenant.isPresent() ? preferredReplica(candidates, tenant) : MemberId.NONE;
    Candidate best = null;
    double bestMillis = Double.MAX_VALUE;
    double secondMillis = Double.MAX_VALUE;
    for (Candidate each : candidates) {
      boolean newConnection = preferred.isPresent() && !each.id().equals(preferred);
      double millis = each.finishMillis() + (newConnection ? NEW_CONNECTION_MILLIS : 0);
      if (millis < bestMillis) {
        secondMillis = bestMillis;
        best = each;
        bestMillis = millis;
      } else {
        secondMillis = Math.min(secondMillis, millis);
      }
    }
    return best == null ? null : new Chosen(best, secondMillis - bestMillis);
  }

  /** Returns the replica that all nodes prefer for a tenant, by rendezvous hashing. */
  private static MemberId preferredReplica(List<Candidate> candidates, TenantId tenant) {
    MemberId preferred = MemberId.NONE;
    long maxHash = Long.MIN_VALUE;
    for (Candidate each : candidates) {
      long hash = HASH.hashChars(tenant.value() + '/' + each.id().value());
      if (!each.primary() && (hash > maxHash || !preferred.isPresent())) {
        preferred = each.id();
        maxHash = hash;
      }
    }
    return preferred;
  }
}
