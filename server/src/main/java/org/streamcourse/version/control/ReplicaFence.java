package org.streamcourse.version.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Finds the replica of a service with synchronous replicas that has every acknowledged commit.
 *
 * <p>A commit is acknowledged once a number of replicas have received it; the controllers don't
 * know which ones. So all replicas are paused first: from then on no commit is acknowledged, and
 * the log that ends latest among them contains every acknowledged commit. An unreachable replica
 * blocks the change, unless its heartbeats have been missing for so long that it counts as lost.
 *
 * <p>A replica that starts during the change is not paused, and the commits that it receives are
 * acknowledged. So a draining primary that can be reached steps down before any log is compared,
 * and the change waits until the primary has reported that it is a replica. The step-down comes
 * before the pauses, because a write that waits for a replica keeps its slot at the primary, and
 * the connection for the request needs one.
 *
 * <p>Requests are repeated until a status shows their effect. Once a promotion is ordered it can't
 * be withdrawn, so the fence stays: members that start are paused too, and any other member that
 * reports that it is primary is asked to step down.
 */
final class ReplicaFence {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaFence.class);

  private static final long RETRY_MILLIS = 300;

  /**
   * Time from the confirmed step-down until the choice. A replica that started before has
   * registered by then, since members register as soon as they run, and is paused too.
   */
  private static final long REGISTRATION_MILLIS = 300;

  /** Time for replicas to receive missing records: trips between regions and a disk write. */
  private static final long CATCH_UP_MILLIS = 500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Requests to one member, and what it last reported. */
  private static final class Requests {
    private ReplicationStatus status;
    private boolean asked;
    private boolean outstanding;
    private long sentMillis = NEVER;
    private long unansweredMillis = NEVER;

    boolean isFenced() {
      return status != null && status.isFenced();
    }

    boolean isPrimary() {
      return status != null && status.primary();
    }

    boolean isDue(long now) {
      return !outstanding && now - sentMillis >= RETRY_MILLIS;
    }
  }

  private final MemberProbe probe;
  private final MemberLogs logs;
  private final Consumer<Runnable> onWorker;
  private final LongSupplier clock;
  private final Map<MemberId, Requests> members = new TreeMap<>();
  private long term;
  private final long startedMillis;
  private boolean awaitsCatchUp = true;
  private MemberId steppedDown = MemberId.NONE;
  private long steppedDownMillis = NEVER;

  /**
   * Creates a fence that has sent no requests.
   *
   * @param probe sends requests to members
   * @param logs log positions as nodes have reported them
   * @param onWorker runs tasks on the controller's worker
   * @param clock worker time in milliseconds
   * @param term a term above the newest that is known; raised when a member knows a newer one
   */
  ReplicaFence(
      MemberProbe probe,
      MemberLogs logs,
      Consumer<Runnable> onWorker,
      LongSupplier clock,
      long term) {
    this.probe = probe;
    this.logs = logs;
    this.onWorker = onWorker;
    this.clock = clock;
    this.term = term;
    this.startedMillis = clock.getAsLong();
  }

  /**
   * Sends the requests that are due before a promotion is ordered.
   *
   * @param service the service
   * @param primaryReachable whether the service's primary is registered and can be reached
   */
  void advance(ServiceImage service, boolean primaryReachable) {
    if (awaitsStepDown(service, primaryReachable)) {
      boolean mayStepDown = mayStepDown(service);
      replicas(service)
          .filter(each -> !(each.draining() && awaitsCatchUp) && requestsTo(each).isFenced())
          .forEach(member -> resume(service, member));
      if (mayStepDown) {
        stepDown(service, service.members().get(service.primary()));
      }
      return;
    }
    replicas(service).forEach(member -> pause(service, member));
  }

  /** Returns whether the draining primary can be reached and hasn't confirmed its step-down. */
  private boolean awaitsStepDown(ServiceImage service, boolean primaryReachable) {
    boolean leaving =
        service.member(service.primary()).filter(RegisteredMember::draining).isPresent();
    return leaving && primaryReachable && !steppedDown.equals(service.primary());
  }

  /**
   * Keeps the service fenced until an ordered promotion has taken effect.
   *
   * @param service the service
   * @param primaryReachable whether the service's primary is registered and can be reached
   */
  void hold(ServiceImage service, boolean primaryReachable) {
    for (RegisteredMember member : service.all()) {
      boolean target = member.id().equals(service.promotion());
      boolean unreachablePrimary = isPrimary(service, member) && !primaryReachable;
      if (requestsTo(member).isPrimary() && !target) {
        stepDown(service, member);
      } else if (!unreachablePrimary) {
        pause(service, member);
      }
    }
  }

  /**
   * Pauses draining replicas before the others, and returns whether the primary may step down: the
   * log of a draining replica then doesn't end last, and no other change of primary has to follow
   * at once. While the remaining replicas receive nothing, the paused ones are resumed, since the
   * primary would keep all its slots.
   */
  private boolean mayStepDown(ServiceImage service) {
    boolean othersRemain = replicas(service).anyMatch(each -> !each.draining());
    if (!awaitsCatchUp || !othersRemain) {
      return true;
    }
    if (clock.getAsLong() - startedMillis > CATCH_UP_MILLIS) {
      LOG.info("replicas of {} have not caught up with its draining ones", service.name());
      awaitsCatchUp = false;
      return true;
    }
    drainingReplicas(service).forEach(member -> pause(service, member));
    boolean paused = drainingReplicas(service).allMatch(each -> requestsTo(each).isFenced());
    return paused && hasCaughtUp(service);
  }

  private boolean hasCaughtUp(ServiceImage service) {
    TermPosition end = lastEnd(drainingReplicas(service)).orElse(TermPosition.ZERO);
    return replicas(service)
        .filter(each -> !each.draining())
        .anyMatch(each -> logs.received(service, each.id()).reaches(end));
  }

  private void pause(ServiceImage service, RegisteredMember member) {
    Requests requests = requestsTo(member);
    if (!requests.isFenced() && requests.isDue(clock.getAsLong())) {
      begin(requests);
      probe.pause(
          service.name(),
          member,
          term,
          status -> onWorker.accept(() -> onPaused(requests, status)));
    }
  }

  private void onPaused(Requests requests, Optional<ReplicationStatus> status) {
    end(requests, status);
    if (status.isPresent() && !requests.isFenced()) {
      raiseTerm(requests);
    }
  }

  private void resume(ServiceImage service, RegisteredMember member) {
    Requests requests = requestsTo(member);
    if (!requests.isDue(clock.getAsLong())) {
      return;
    }
    begin(requests);
    probe.resume(service.name(), member, status -> onWorker.accept(() -> end(requests, status)));
  }

  private void stepDown(ServiceImage service, RegisteredMember member) {
    Requests requests = requestsTo(member);
    if (!requests.isDue(clock.getAsLong())) {
      return;
    }
    LOG.info("requests the step-down of {}/{} at term {}", service.name(), member.id(), term);
    begin(requests);
    probe.stepDown(
        service.name(),
        member,
        term,
        status -> onWorker.accept(() -> onStepDown(service.name(), member, status)));
  }

  private void onStepDown(
      String service, RegisteredMember member, Optional<ReplicationStatus> status) {
    Requests requests = requestsTo(member);
    end(requests, status);
    String reported = status.map(ReplicationStatus::toString).orElse("no answer");
    LOG.info("step-down of {}/{} at term {}: {}", service, member.id(), term, reported);
    if (requests.isPrimary()) {
      raiseTerm(requests);
    } else if (status.isPresent()) {
      steppedDown = member.id();
      steppedDownMillis = clock.getAsLong();
    }
  }

  /** Uses a higher term from now on if a member knows this one, as it then ignores requests. */
  private void raiseTerm(Requests requests) {
    if (requests.status.term() >= term) {
      term = requests.status.term() + 1;
      requests.sentMillis = NEVER;
    }
  }

  private void begin(Requests requests) {
    requests.asked = true;
    requests.outstanding = true;
    requests.sentMillis = clock.getAsLong();
  }

  private static void end(Requests requests, Optional<ReplicationStatus> status) {
    requests.outstanding = false;
    status.ifPresentOrElse(
        each -> requests.status = each, () -> requests.unansweredMillis = requests.sentMillis);
  }

  /**
   * Returns the member to promote, once every replica that is not lost is paused. A deregistered
   * member is not waited for, since it does not return. A primary that has stepped down is promoted
   * again unless it is draining.
   *
   * @param service the service
   * @param primaryReachable whether the service's primary is registered and can be reached
   * @param lost members that are not waited for
   */
  Optional<MemberId> latest(
      ServiceImage service, boolean primaryReachable, Predicate<MemberId> lost) {
    boolean mayBeUnregistered = clock.getAsLong() - steppedDownMillis < REGISTRATION_MILLIS;
    if (mayBeUnregistered || awaitsStepDown(service, primaryReachable)) {
      return Optional.empty();
    }
    if (replicas(service).anyMatch(each -> blocks(service, each, lost))) {
      return Optional.empty();
    }
    List<RegisteredMember> candidates =
        service.all().stream()
            .filter(each -> !isPrimary(service, each) || (primaryReachable && !each.draining()))
            .toList();
    Optional<TermPosition> last = lastEnd(candidates.stream());
    return candidates.stream()
        .filter(each -> last.isPresent() && last.equals(endOf(each)))
        .min(Comparator.comparing(RegisteredMember::draining))
        .map(RegisteredMember::id);
  }

  private static boolean isPrimary(ServiceImage service, RegisteredMember member) {
    return member.id().equals(service.primary());
  }

  /** Returns whether the choice waits for a member; see {@link #hold} for other primaries. */
  private boolean blocks(ServiceImage service, RegisteredMember member, Predicate<MemberId> lost) {
    Requests requests = requestsTo(member);
    boolean steppingDown = requests.isPrimary() && service.promotion().isPresent();
    return !requests.isFenced() && !steppingDown && !lost.test(member.id());
  }

  /** Adds the members that are or may be paused to a resumption. */
  void resume(ServiceImage service, ReplicaResumption resumption) {
    members.forEach(
        (id, requests) -> {
          if (requests.asked && !id.equals(service.primary())) {
            long unanswered =
                requests.outstanding ? requests.sentMillis : requests.unansweredMillis;
            resumption.add(id, unanswered);
          }
        });
  }

  private Requests requestsTo(RegisteredMember member) {
    return members.computeIfAbsent(member.id(), any -> new Requests());
  }

  private static Stream<RegisteredMember> replicas(ServiceImage service) {
    return service.all().stream().filter(each -> !isPrimary(service, each));
  }

  private static Stream<RegisteredMember> drainingReplicas(ServiceImage service) {
    return replicas(service).filter(RegisteredMember::draining);
  }

  private Optional<TermPosition> lastEnd(Stream<RegisteredMember> some) {
    return some.map(this::endOf).flatMap(Optional::stream).max(Comparator.naturalOrder());
  }

  private Optional<TermPosition> endOf(RegisteredMember member) {
    Requests requests = requestsTo(member);
    return requests.isFenced() ? Optional.of(requests.status.received()) : Optional.empty();
  }

  /** Describes the fence, as input of a decision. */
  @Override
  public String toString() {
    return members.entrySet().stream()
        .filter(each -> each.getValue().isFenced())
        .map(each -> each.getKey() + "=" + each.getValue().status.received())
        .collect(Collectors.joining(" ", "paused at term " + term + ": ", ""));
  }
}
