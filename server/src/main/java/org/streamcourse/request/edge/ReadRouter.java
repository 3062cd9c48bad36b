package org.streamcourse.request.edge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/** Orders the members, and the gateways of each, that an edge tries for one request. */
public final class ReadRouter {
  /** How reads are distributed; the policies after the first serve as baselines of benchmarks. */
  public enum Policy {
    /** Replicas by expected cost, which includes distance and lag; the primary last. */
    NEAREST_FRESH,
    /** All reads go to the primary. */
    PRIMARY_ONLY,
    /** Replicas and primary in rotation, regardless of distance or lag. */
    ROUND_ROBIN
  }

  private final Policy policy;
  private final MemberScores scores;
  private final RandomGenerator random;
  private int rotation;

  ReadRouter(Policy policy, MemberScores scores, RandomGenerator random) {
    this.policy = policy;
    this.scores = scores;
    this.random = random;
  }

  /** Targets in the order in which they are tried; empty when no member is eligible. */
  synchronized List<RouteTarget> targets(
      GroupImage group, Purpose purpose, TermPosition floor, long now) {
    List<RouteTarget> targets = new ArrayList<>();
    if (purpose == Purpose.WRITE || policy == Policy.PRIMARY_ONLY) {
      group.primaryMember().ifPresent(primary -> addGateways(primary, targets));
      return targets;
    }
    List<MemberImage> members =
        policy == Policy.ROUND_ROBIN ? rotated(group) : byCost(group, floor, now);
    for (MemberImage member : members) {
      addGateways(member, targets);
    }
    return targets;
  }

  private List<MemberImage> rotated(GroupImage group) {
    List<MemberImage> members = new ArrayList<>(group.members());
    rotation++;
    java.util.Collections.rotate(members, rotation % members.size());
    return members;
  }

  private List<MemberImage> byCost(GroupImage group, TermPosition floor, long now) {
    List<MemberImage> replicas = new ArrayList<>();
    for (MemberImage member : group.members()) {
      if (!member.draining() && !member.name().equals(group.primary())) {
        replicas.add(member);
      }
    }
    replicas.sort(
        Comparator.comparingDouble(member -> scores.cost(group.name(), member, floor, now)));
    if (group.rules().readOnPrimary()) {
      group.primaryMember().ifPresent(replicas::add);
    }
    return replicas;
  }

  /** Adds a member's gateways; the first is drawn at random, weighted by slots. */
  private void addGateways(MemberImage member, List<RouteTarget> targets) {
    List<Allowance> usable =
        new ArrayList<>(
            member.allowances().stream()
                .filter(each -> each.connections() > 1 && each.slots() > 0)
                .toList());
    int total = usable.stream().mapToInt(Allowance::slots).sum();
    if (total == 0) {
      return;
    }
    int pick = random.nextInt(total);
    int first = 0;
    while (pick >= usable.get(first).slots()) {
      pick -= usable.get(first).slots();
      first++;
    }
    usable.add(0, usable.remove(first));
    usable.forEach(each -> targets.add(new RouteTarget(member, each.node())));
  }
}
