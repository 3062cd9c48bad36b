package org.streamcourse.request.edge;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;

/**
 * What this edge has observed of members while serving: how fast they answer, how far they had
 * applied the log, whether they failed lately. Safe from any thread.
 */
final class MemberScores {
  private static final double SMOOTHING = 0.2;
  private static final double[] FIRST_GUESS_MILLIS = {1, 4, 40};
  private static final double SHUNNED_MILLIS = 1_000_000;
  private static final long SHUN_MILLIS = 500;
  private static final double BEHIND_MILLIS = 1_000;

  /** Observations of one member; immutable, replaced as a whole. */
  private record Score(double latencyMillis, long shunnedUntil, TermPosition applied, long at) {}

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
        FIRST_GUESS_MILLIS[self.distanceTo(member.placement())], 0, TermPosition.ZERO, 0);
  }

  /** Expected cost of a read with a floor; members that are likely to refuse come later. */
  double cost(String group, MemberImage member, TermPosition floor, long now) {
    Score score = scores.getOrDefault(key(group, member.name()), initial(member));
    double cost = score.latencyMillis();
    if (now < score.shunnedUntil()) {
      cost += SHUNNED_MILLIS;
    }
    boolean behind = score.at() > 0 && !score.applied().reaches(floor);
    boolean recent = now - score.at() < SHUN_MILLIS;
    return behind && recent ? cost + BEHIND_MILLIS : cost;
  }

  void answered(
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

  void behind(String group, MemberImage member, TermPosition applied, long now) {
    scores.compute(
        key(group, member.name()),
        (key, old) -> {
          Score score = old == null ? initial(member) : old;
          return new Score(
              score.latencyMillis(), score.shunnedUntil(), applied.max(score.applied()), now);
        });
  }

  void failed(String group, MemberImage member, long now) {
    scores.compute(
        key(group, member.name()),
        (key, old) -> {
          Score score = old == null ? initial(member) : old;
          return new Score(score.latencyMillis(), now + SHUN_MILLIS, score.applied(), score.at());
        });
  }
}
