package org.streamcourse.request.edge;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;

/**
 * Observations of members from the requests that this edge has sent them: their latency, the log
 * position that they had applied, and recent failures. Thread-safe.
 */
final class MemberScores {
  private static final double SMOOTHING = 0.2;

  /** Assumed latency before the first answer, by distance: same zone, same region, other region. */
  private static final double[] INITIAL_LATENCY_MILLIS = {1, 4, 40};

  /** Added to the cost of a member that failed, so that it sorts after the others. */
  private static final double FAILURE_COST_MILLIS = 1_000_000;

  /** Time for which a failure, or an applied position below a floor, raises the cost. */
  private static final long PENALTY_MILLIS = 500;

  /** Added to the cost of a member that had not applied the floor. */
  private static final double BEHIND_COST_MILLIS = 1_000;

  /** Observations of one member; immutable, replaced as a whole. */
  private record Score(
      double latencyMillis, long avoidedUntil, TermPosition applied, long observedAt) {}

  private final Map<String, Score> scores = new ConcurrentHashMap<>();
  private final Placement self;

  MemberScores(Placement self) {
    this.self = self;
  }

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  private Score initial(MemberImage member) {
    return new Score(
        INITIAL_LATENCY_MILLIS[self.distanceTo(member.placement())], 0, TermPosition.ZERO, 0);
  }

  /** Expected cost in milliseconds of a read with a floor; higher for members likely to refuse. */
  double cost(String group, MemberImage member, TermPosition floor, long now) {
    Score score = scores.getOrDefault(key(group, member.name()), initial(member));
    double cost = score.latencyMillis();
    if (now < score.avoidedUntil()) {
      cost += FAILURE_COST_MILLIS;
    }
    boolean behind = score.observedAt() > 0 && !score.applied().reaches(floor);
    boolean recent = now - score.observedAt() < PENALTY_MILLIS;
    return behind && recent ? cost + BEHIND_COST_MILLIS : cost;
  }

  void recordAnswer(
      String group, MemberImage member, long latencyMillis, TermPosition applied, long now) {
    scores.compute(
        key(group, member.name()),
        (key, old) -> {
          Score score = old == null ? initial(member) : old;
          double latency =
              score.latencyMillis() + SMOOTHING * (latencyMillis - score.latencyMillis());
          return new Score(latency, 0, applied.max(score.applied()), now);
        });
  }

  void recordBehind(String group, MemberImage member, TermPosition applied, long now) {
    scores.compute(
        key(group, member.name()),
        (key, old) -> {
          Score score = old == null ? initial(member) : old;
          return new Score(
              score.latencyMillis(), score.avoidedUntil(), applied.max(score.applied()), now);
        });
  }

  void recordFailure(String group, MemberImage member, long now) {
    scores.compute(
        key(group, member.name()),
        (key, old) -> {
          Score score = old == null ? initial(member) : old;
          return new Score(
              score.latencyMillis(), now + PENALTY_MILLIS, score.applied(), score.observedAt());
        });
  }
}
