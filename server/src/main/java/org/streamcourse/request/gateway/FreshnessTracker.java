package org.streamcourse.request.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamcourse.connection.backend.MemberMonitor;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.PositionReply;
import org.streamcourse.request.StreamMessage.PositionRequest;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Bounds the staleness of a member by comparing its log position with the primary's. Positions are
 * requested only while there are reads that need the bound.
 *
 * <p>A round requests the positions of all members. It succeeds when the members that replied at
 * this member's term include this member and the primary and form a majority: then no newer primary
 * existed when the round began, and no write acknowledged before that moment is above the primary's
 * position. Once the member has applied that position, its staleness is at most the time since the
 * round began. The times at which positions arrive are never used.
 *
 * <p>All methods run on the gateway's worker.
 */
final class FreshnessTracker {
  /** Result of a successful round. */
  private record Evidence(long startedAt, TermPosition primaryPosition) {}

  private static final int KEPT_EVIDENCE = 64;

  /** A round of position requests that has not succeeded yet. */
  private static final class Round {
    final long startedAt;
    final Map<String, MemberStatus> replies = new HashMap<>();

    Round(long startedAt) {
      this.startedAt = startedAt;
    }
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final MemberMonitor monitor;
  private final String member;
  private final LongSupplier requestIds;
  private final long requestRetryMillis;
  private final Map<Long, Round> rounds = new HashMap<>();
  private final Deque<Evidence> evidence = new ArrayDeque<>();
  private final Runnable onEvidence;
  private GroupImage group;
  private long lastRoundAt = Long.MIN_VALUE / 2;
  private int roundsStarted;

  FreshnessTracker(
      Worker worker,
      PeerNetwork network,
      MemberMonitor monitor,
      GroupImage group,
      String member,
      LongSupplier requestIds,
      long requestRetryMillis,
      Runnable onEvidence) {
    this.worker = worker;
    this.network = network;
    this.monitor = monitor;
    this.group = group;
    this.member = member;
    this.requestIds = requestIds;
    this.requestRetryMillis = requestRetryMillis;
    this.onEvidence = onEvidence;
  }

  void update(GroupImage image) {
    group = image;
  }

  /** Whether a successful round shows that the member's staleness is within the limit. */
  boolean isFresh(long maxStalenessMillis) {
    return freshAsOf()
        .map(startedAt -> worker.now() - startedAt <= maxStalenessMillis)
        .orElse(false);
  }

  /** Latest start of a round whose primary position this member has applied. */
  private Optional<Long> freshAsOf() {
    TermPosition applied = monitor.status().applied();
    return evidence.stream()
        .filter(each -> applied.reaches(each.primaryPosition()))
        .map(Evidence::startedAt)
        .max(Long::compare);
  }

  /** Starts a round unless the previous round started too recently. */
  void startRoundIfDue(long maxStalenessMillis) {
    long pause = Math.min(requestRetryMillis, maxStalenessMillis / 4);
    if (worker.now() - lastRoundAt < pause) {
      return;
    }
    lastRoundAt = worker.now();
    roundsStarted++;
    long id = requestIds.getAsLong();
    Round round = new Round(worker.now());
    rounds.put(id, round);
    worker.schedule(requestRetryMillis * 4, () -> rounds.remove(id));
    monitor.refresh(status -> status.ifPresent(own -> onReply(id, member, own)));
    for (MemberImage other : group.members()) {
      List<Allowance> gateways = other.allowances();
      if (!other.name().equals(member) && !gateways.isEmpty()) {
        String gateway = gateways.get(roundsStarted % gateways.size()).node();
        network.send(gateway, new PositionRequest(id, group.name(), other.name()));
      }
    }
  }

  void onReply(PositionReply reply) {
    if (reply.known()) {
      onReply(reply.requestId(), reply.member(), reply.status());
    }
  }

  private void onReply(long id, String from, MemberStatus status) {
    Round round = rounds.get(id);
    if (round == null) {
      return;
    }
    round.replies.put(from, status);
    MemberStatus own = round.replies.get(member);
    if (own == null) {
      return;
    }
    List<MemberStatus> sameTerm =
        round.replies.values().stream().filter(each -> each.term() == own.term()).toList();
    Optional<MemberStatus> primary =
        sameTerm.stream().filter(each -> each.role() == MemberRole.PRIMARY).findFirst();
    if (primary.isEmpty() || sameTerm.size() < group.majority()) {
      return;
    }
    rounds.remove(id);
    evidence.addLast(new Evidence(round.startedAt, primary.get().received()));
    if (evidence.size() > KEPT_EVIDENCE) {
      evidence.removeFirst();
    }
    onEvidence.run();
  }
}
