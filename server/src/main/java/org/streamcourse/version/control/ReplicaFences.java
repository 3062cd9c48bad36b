package org.streamcourse.version.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.ServiceImage;

/**
 * The fences of services with synchronous replicas during changes of primary, and the resumption of
 * their replicas afterwards. A fence is kept by the leader only, so a new leader starts another one
 * for a change that it finds open.
 *
 * <p>All methods run on the controller's worker.
 */
final class ReplicaFences {
  private final MemberProbe probe;
  private final MemberLogs logs;
  private final Consumer<Runnable> onWorker;
  private final LongSupplier clock;
  private final Map<String, ReplicaFence> fences = new HashMap<>();
  private final Map<String, ReplicaResumption> resumptions = new HashMap<>();
  private final Set<String> resumed = new HashSet<>();

  ReplicaFences(
      MemberProbe probe, MemberLogs logs, Consumer<Runnable> onWorker, LongSupplier clock) {
    this.probe = probe;
    this.logs = logs;
    this.onWorker = onWorker;
    this.clock = clock;
  }

  /** Discards all state when a leadership begins or ends. */
  void restart() {
    fences.clear();
    resumptions.clear();
    resumed.clear();
  }

  /**
   * Fences a service, and returns the member to promote once it is known.
   *
   * @param service the service
   * @param primaryReachable whether the service's primary is registered and can be reached
   * @param lost members that are not waited for
   */
  Optional<MemberId> choose(
      ServiceImage service, boolean primaryReachable, Predicate<MemberId> lost) {
    ReplicaFence fence = fenceOf(service);
    if (!service.promotion().isPresent()) {
      fence.advance(service, primaryReachable);
    }
    return fence.latest(service, primaryReachable, lost);
  }

  /** Keeps a service fenced until an ordered promotion has taken effect. */
  void hold(ServiceImage service, boolean primaryReachable) {
    fenceOf(service).hold(service, primaryReachable);
  }

  private ReplicaFence fenceOf(ServiceImage service) {
    cancelResumption(service.name());
    return fences.computeIfAbsent(
        service.name(),
        any -> new ReplicaFence(probe, logs, onWorker, clock, logs.newestTerm(service) + 1));
  }

  private void cancelResumption(String service) {
    ReplicaResumption resumption = resumptions.remove(service);
    if (resumption != null) {
      resumption.cancel();
    }
  }

  /** Ends the fence of a service: the replicas that are or may be paused are resumed. */
  void release(ServiceImage service) {
    ReplicaFence fence = fences.remove(service.name());
    if (fence != null) {
      ReplicaResumption resumption = newResumption(service);
      fence.resume(service, resumption);
      resumption.advance(service);
    }
  }

  /**
   * Resumes all replicas of a service once in a leadership: a previous leader may have paused them
   * and not promoted one, and while all are paused no write is acknowledged.
   */
  void resumeOnce(ServiceImage service) {
    if (!resumed.contains(service.name())) {
      ReplicaResumption resumption = newResumption(service);
      service.all().stream()
          .filter(member -> !member.id().equals(service.primary()))
          .forEach(member -> resumption.add(member.id(), clock.getAsLong()));
      resumption.advance(service);
    }
  }

  private ReplicaResumption newResumption(ServiceImage service) {
    resumed.add(service.name());
    ReplicaResumption resumption = new ReplicaResumption(probe, onWorker, clock);
    resumptions.put(service.name(), resumption);
    return resumption;
  }

  /** Continues the resumption of a service's replicas. */
  void advanceResumption(ServiceImage service) {
    ReplicaResumption resumption = resumptions.get(service.name());
    if (resumption != null && !resumption.advance(service)) {
      resumptions.remove(service.name());
    }
  }
}
