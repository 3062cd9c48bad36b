package org.streamcourse.version.control;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
 * acknowledged. So a draining primary that still runs steps down before the choice is made.
 */
final class ReplicaFence {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaFence.class);

  private static final long PAUSE_RETRY_MILLIS = 300;

  /**
   * Time from the step-down request to the primary until the choice. A replica that started before
   * the request has registered by then, since members register as soon as they run, and is paused
   * too.
   */
  private static final long REGISTRATION_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final MemberProbe probe;
  private final Consumer<Runnable> onWorker;
  private final long term;
  private final Map<MemberId, TermPosition> ends = new TreeMap<>();
  private final Map<MemberId, Long> pauseSentMillis = new TreeMap<>();
  private final Set<MemberId> pausing = new HashSet<>();
  private long stepDownSentMillis = NEVER;
  private boolean steppedDown;

  ReplicaFence(MemberProbe probe, Consumer<Runnable> onWorker, long term) {
    this.probe = probe;
    this.onWorker = onWorker;
    this.term = term;
  }

  /** Sends pause requests to the replicas that are not paused yet. */
  void advance(ServiceImage service, long now) {
    for (RegisteredMember member : service.all()) {
      MemberId id = member.id();
      boolean due =
          now - pauseSentMillis.getOrDefault(id, now - PAUSE_RETRY_MILLIS) >= PAUSE_RETRY_MILLIS;
      if (id.equals(service.primary()) || ends.containsKey(id) || pausing.contains(id) || !due) {
        continue;
      }
      pauseSentMillis.put(id, now);
      pausing.add(id);
      probe.pause(service.name(), member, term, end -> onWorker.accept(() -> onPaused(id, end)));
    }
  }

  private void onPaused(MemberId id, Optional<TermPosition> end) {
    pausing.remove(id);
    end.ifPresent(position -> ends.put(id, position));
  }

  /**
   * Requests the step-down of a draining primary on the first call; to be called once all replicas
   * are paused.
   *
   * @return true once the choice may be made; at once if the primary is not draining
   */
  boolean hasDeposed(ServiceImage service, long now) {
    Optional<RegisteredMember> leaving =
        service.member(service.primary()).filter(RegisteredMember::draining);
    if (leaving.isEmpty()) {
      return true;
    }
    if (stepDownSentMillis == NEVER) {
      stepDownSentMillis = now;
      LOG.info(
          "primary {}/{} is draining, requests its step-down at term {}, replicas paused at {}",
          service.name(),
          service.primary(),
          term,
          ends);
      probe.stepDown(
          service.name(), leaving.get(), term, () -> onWorker.accept(() -> steppedDown = true));
    }
    return steppedDown && now - stepDownSentMillis >= REGISTRATION_MILLIS;
  }

  /**
   * Returns the member to promote, once every replica that is not lost is paused. A deregistered
   * member is not waited for, since it does not return.
   */
  Optional<MemberId> latest(ServiceImage service, Predicate<MemberId> lost) {
    for (RegisteredMember member : service.all()) {
      MemberId id = member.id();
      if (!id.equals(service.primary()) && !ends.containsKey(id) && !lost.test(id)) {
        return Optional.empty();
      }
    }
    Optional<TermPosition> last =
        service.all().stream()
            .map(member -> ends.get(member.id()))
            .filter(Objects::nonNull)
            .max(Comparator.naturalOrder());
    return service.all().stream()
        .filter(member -> last.isPresent() && last.get().equals(ends.get(member.id())))
        .min(Comparator.comparing(RegisteredMember::draining))
        .map(RegisteredMember::id);
  }

  /** Abandons the change: resumes the replicas that are paused or being paused. */
  void release(ServiceImage service) {
    service.all().stream()
        .filter(member -> ends.containsKey(member.id()) || pausing.contains(member.id()))
        .forEach(member -> probe.resume(service.name(), member));
  }

  /** Describes the fence, as input of a decision. */
  @Override
  public String toString() {
    return "paused at term " + term + ": " + ends;
  }
}
