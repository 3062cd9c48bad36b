package org.streamcourse.request.routing;

import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.connection.member.MemberState;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;

/**
 * Chooses the member that is expected to finish a read first: its usual answer time with what is
 * under way there, or the queue that a holder told of, and the time until it has the read's floor.
 * A member that is expected to lack the floor for longer than others take is thereby left out, and
 * the last one never is.
 *
 * <p>Has no state and no clock, so that it runs in tests as in the product.
 */
final class MemberChoice {
  /** A read goes to the primary only when the replicas are this much dearer: writes need it. */
  private static final double PRIMARY_READ_COST = 2.0;

  /**
   * Time that a tenant's read may take longer at the member to which its other reads go. A new pair
   * of tenant and member needs a connection, which takes a member's slot as long as this.
   */
  private static final double NEW_PAIR_MILLIS = 12;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  /**
   * A member as it is known now.
   *
   * @param id the member
   * @param primary whether it is the primary
   * @param answerMillis usual time to its answer
   * @param underWay statements of this node there
   * @param queueMillis expected wait for a connection
   * @param catchUpMillis time until it is expected to have the floor
   * @param silentMillis how long it has owed answers to all who asked it
   */
  record Candidate(
      MemberId id,
      boolean primary,
      double answerMillis,
      int underWay,
      long queueMillis,
      long catchUpMillis,
      long silentMillis) {
    /**
     * Expected time to the answer, the price of the primary's room included. A silence is expected
     * to last as long again.
     */
    double finishMillis() {
      double answered = Math.max(answerMillis * (1 + underWay), answerMillis + queueMillis);
      double priced = primary ? answered * PRIMARY_READ_COST : answered;
      return priced + catchUpMillis + (silentMillis > MemberState.HUNG_MILLIS ? silentMillis : 0);
    }

    boolean isHeldBack() {
      return catchUpMillis > 0 || silentMillis > MemberState.HUNG_MILLIS;
    }
  }

  /**
   * A choice.
   *
   * @param chosen the member
   * @param spareMillis how much sooner it is than the next one; very large when it is the only one
   */
  record Chosen(Candidate chosen, double spareMillis) {}

  private MemberChoice() {}

  /**
   * Chooses.
   *
   * @param candidates members that can be asked
   * @param tenant whose read it is; its reads are kept together where that costs little
   * @return the choice, or null when there is no candidate
   */
  static Chosen choose(List<Candidate> candidates, TenantId tenant) {
    MemberId home = tenant.isPresent() ? home(candidates, tenant) : MemberId.NONE;
    Candidate best = null;
    double bestMillis = Double.MAX_VALUE;
    double nextMillis = Double.MAX_VALUE;
    for (Candidate each : candidates) {
      boolean newPair = home.isPresent() && !each.id().equals(home);
      double millis = each.finishMillis() + (newPair ? NEW_PAIR_MILLIS : 0);
      if (millis < bestMillis) {
        nextMillis = bestMillis;
        best = each;
        bestMillis = millis;
      } else {
        nextMillis = Math.min(nextMillis, millis);
      }
    }
    return best == null ? null : new Chosen(best, nextMillis - bestMillis);
  }

  /** The replica that all nodes find for a tenant, by rendezvous hashing. */
  private static MemberId home(List<Candidate> candidates, TenantId tenant) {
    MemberId home = MemberId.NONE;
    long most = Long.MIN_VALUE;
    for (Candidate each : candidates) {
      long hash = HASH.hashChars(tenant.value() + '/' + each.id().value());
      if (!each.primary() && (hash > most || !home.isPresent())) {
        home = each.id();
        most = hash;
      }
    }
    return home;
  }
}
