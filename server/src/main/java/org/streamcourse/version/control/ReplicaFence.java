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
 * <p>A commit is acknowledged once some replicas have received it, which ones is not known. So all
 * replicas are paused first; from then on nothing more is acknowledged, and the log that ends
 * latest among all of them has everything that was. A replica that can't be asked keeps the change
 * from going on, unless it has been silent for so long that it counts as lost.
 *
 * <p>A replica that starts meanwhile is not paused, and what it receives is acknowledged. So a
 * primary that leaves, and is still there, loses the lead before the choice is made.
 */
final class ReplicaFence {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaFence.class);

  private static final long ASK_AGAIN_MILLIS = 300;

  /**
   * Time from the question to the primary until the choice: a replica that has started before it
   * has registered by then, since a member tells of itself as soon as it runs, and is paused too.
   */
  private static final long JOIN_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final MemberProbe probe;
  private final Consumer<Runnable> onWorker;
  private final long term;
  private final Map<MemberId, TermPosition> ends = new TreeMap<>();
  private final Map<MemberId, Long> askedMillis = new TreeMap<>();
  private final Set<MemberId> asking = new HashSet<>();
  private long stepDownMillis = NEVER;
  private boolean steppedDown;

  ReplicaFence(MemberProbe probe, Consumer<Runnable> onWorker, long term) {
    this.probe = probe;
    this.onWorker = onWorker;
    this.term = term;
  }

  /** Pauses the replicas that are not paused yet. */
  void advance(ServiceImage service, long now) {
    for (RegisteredMember member : service.all()) {
      MemberId id = member.id();
      boolean due = now - askedMillis.getOrDefault(id, now - ASK_AGAIN_MILLIS) >= ASK_AGAIN_MILLIS;
      if (id.equals(service.primary()) || ends.containsKey(id) || asking.contains(id) || !due) {
        continue;
      }
      askedMillis.put(id, now);
      asking.add(id);
      probe.pause(service.name(), member, term, end -> onWorker.accept(() -> paused(id, end)));
    }
  }

  private void paused(MemberId id, Optional<TermPosition> end) {
    asking.remove(id);
    end.ifPresent(place -> ends.put(id, place));
  }

  /**
   * Takes the lead from a primary that leaves; to be called once all replicas are paused.
   *
   * @return true once the choice may be made
   */
  boolean hasDeposed(ServiceImage service, long now) {
    Optional<RegisteredMember> leaving =
        service.member(service.primary()).filter(RegisteredMember::draining);
    if (leaving.isEmpty()) {
      return true;
    }
    if (stepDownMillis == NEVER) {
      stepDownMillis = now;
      LOG.info(
          "primary {}/{} leaves and steps down, term {}, replicas paused at {}",
          service.name(),
          service.primary(),
          term,
          ends);
      probe.stepDown(
          service.name(), leaving.get(), term, () -> onWorker.accept(() -> steppedDown = true));
    }
    return steppedDown && now - stepDownMillis >= JOIN_MILLIS;
  }

  /**
   * The member to promote, once every replica that is not lost is paused. The log of a member that
   * has left is not waited for, since it does not come back.
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

  /** Gives the change up. */
  void release(ServiceImage service) {
    service.all().stream()
        .filter(member -> ends.containsKey(member.id()) || asking.contains(member.id()))
        .forEach(member -> probe.resume(service.name(), member));
  }

  /** What is known, for the record of decisions. */
  @Override
  public String toString() {
    return "paused at term " + term + ": " + ends;
  }
}
