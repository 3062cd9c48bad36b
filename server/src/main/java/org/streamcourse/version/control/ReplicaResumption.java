package org.streamcourse.version.control;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.ServiceImage;

/**
 * Resumes replicas of a service until each has reported that it is not paused. Only a replica that
 * reports a pause is sent the request, since one that is carried out late would end the pause of a
 * later change. A replica with an unanswered request to pause is observed for longer, since it may
 * carry that out seconds later.
 */
final class ReplicaResumption {
  private static final long RETRY_MILLIS = 300;

  /** Time between two checks of a replica that is not paused but may become so. */
  private static final long CHECK_MILLIS = 1_000;

  /** Time after which an unanswered request is no longer carried out. */
  private static final long LATE_MILLIS = 15_000;

  /** Request to one member. */
  private static final class Request {
    private boolean outstanding;
    private long notBeforeMillis;
    private final long untilMillis;

    Request(long untilMillis) {
      this.untilMillis = untilMillis;
    }
  }

  private final MemberProbe probe;
  private final Consumer<Runnable> onWorker;
  private final LongSupplier clock;
  private final Map<MemberId, Request> open = new TreeMap<>();
  private boolean cancelled;

  ReplicaResumption(MemberProbe probe, Consumer<Runnable> onWorker, LongSupplier clock) {
    this.probe = probe;
    this.onWorker = onWorker;
    this.clock = clock;
  }

  /**
   * Adds a replica.
   *
   * @param member the replica
   * @param unansweredMillis worker time at which the last request to pause without an answer was
   *     sent; far in the past if there is none
   */
  void add(MemberId member, long unansweredMillis) {
    open.put(member, new Request(unansweredMillis + LATE_MILLIS));
  }

  /** Ends the resumption: no more requests are sent, also when a status arrives later. */
  void cancel() {
    cancelled = true;
  }

  /** Sends the requests that are due; returns false once no member is left. */
  boolean advance(ServiceImage service) {
    open.keySet().removeIf(id -> service.member(id).isEmpty());
    new TreeMap<>(open)
        .forEach(
            (id, request) -> {
              if (!request.outstanding && clock.getAsLong() >= request.notBeforeMillis) {
                request.outstanding = true;
                requestStatus(service.name(), service.members().get(id), request);
              }
            });
    return !open.isEmpty();
  }

  private void requestStatus(String service, RegisteredMember member, Request request) {
    probe.status(
        service,
        member,
        status ->
            onWorker.accept(
                () -> {
                  if (!cancelled && status.filter(ReplicationStatus::isFenced).isPresent()) {
                    resume(service, member, request);
                  } else {
                    ended(member.id(), request, status);
                  }
                }));
  }

  private void resume(String service, RegisteredMember member, Request request) {
    probe.resume(
        service, member, status -> onWorker.accept(() -> ended(member.id(), request, status)));
  }

  private void ended(MemberId id, Request request, Optional<ReplicationStatus> status) {
    request.outstanding = false;
    boolean receives = status.filter(each -> !each.isFenced()).isPresent();
    long now = clock.getAsLong();
    request.notBeforeMillis = now + (receives ? CHECK_MILLIS : RETRY_MILLIS);
    if (receives && now >= request.untilMillis) {
      open.remove(id);
    }
  }
}
