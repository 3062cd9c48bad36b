package org.streamcourse.connection.member;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TenantId;

/**
 * Queue of requests for a link to one member. Requests are ordered by priority, then by turns of
 * the tenants, so that many requests of one tenant delay another tenant by one request per turn,
 * then by deadline. A request whose deadline passes is refused.
 *
 * <p>An idle link goes to the first request of its tenant, because a link for another tenant would
 * have to be opened first. Earlier requests of other tenants are passed over for a multiple of the
 * current opening time ({@link LinkOpenings#passOverMillis}).
 *
 * <p>All methods run on the proxy's worker.
 */
final class LinkQueue {
  /**
   * Part of its longest wait for which a request is queued if its estimated wait exceeds it. The
   * request is not refused at once, because the estimate is often too high: many requests ahead of
   * it time out.
   */
  private static final double CROWDED_WAIT_SHARE = 0.48;

  /** Maximum number of waiting requests per link of this node's share. */
  private static final int MAX_WAITING_PER_LINK = 16;

  private record Waiter(
      LinkRequest request, long turn, long deadlineMillis, long number, long sinceMillis) {}

  private static final Comparator<Waiter> SERVICE_ORDER =
      Comparator.comparingInt((Waiter each) -> each.request().priority())
          .thenComparingLong(Waiter::turn)
          .thenComparingLong(Waiter::deadlineMillis)
          .thenComparingLong(Waiter::number);

  private final Worker worker;
  private final LongSupplier estimatedWaitMillis;
  private final LinkOpenings openings;
  private final TreeSet<Waiter> waiting = new TreeSet<>(SERVICE_ORDER);
  private final Map<Integer, Integer> countByPriority = new HashMap<>();
  private final Map<TenantId, Long> lastTurns = new HashMap<>();
  private long currentTurn;
  private long lastNumber;

  /**
   * Creates an empty queue.
   *
   * @param worker the proxy's worker
   * @param estimatedWaitMillis estimates the time until a link is free, in milliseconds
   * @param openings links to the member that are being opened
   */
  LinkQueue(Worker worker, LongSupplier estimatedWaitMillis, LinkOpenings openings) {
    this.worker = worker;
    this.estimatedWaitMillis = estimatedWaitMillis;
    this.openings = openings;
  }

  /**
   * Queues a request. A request that is not expected to get a link within its longest wait is
   * queued for a shorter time.
   *
   * @param request the request
   * @param estimateMillis estimated wait
   * @param links maximum number of links of this node
   * @return false when the queue is full
   */
  boolean add(LinkRequest request, long estimateMillis, int links) {
    if (waiting.size() >= MAX_WAITING_PER_LINK * links) {
      return false;
    }
    lastNumber++;
    long longest = request.maxWaitMillis();
    long now = worker.now();
    Waiter waiter = new Waiter(request, nextTurn(request.tenant()), now + longest, lastNumber, now);
    waiting.add(waiter);
    countByPriority.merge(request.priority(), 1, Integer::sum);
    long wait = estimateMillis > longest ? Math.round(CROWDED_WAIT_SHARE * longest) : longest;
    worker.schedule(wait, () -> expire(waiter));
    return true;
  }

  /** Requests without a tenant share one turn, so the earliest deadline goes first. */
  private long nextTurn(TenantId tenant) {
    if (!tenant.isPresent()) {
      return currentTurn;
    }
    long turn = Math.max(currentTurn, lastTurns.getOrDefault(tenant, 0L)) + 1;
    lastTurns.put(tenant, turn);
    return turn;
  }

  private void expire(Waiter waiter) {
    if (remove(waiter)) {
      waiter
          .request()
          .refused(
              "no connection to the member became free in time", estimatedWaitMillis.getAsLong());
    }
  }

  private boolean remove(Waiter waiter) {
    boolean removed = waiting.remove(waiter);
    if (removed) {
      countByPriority.merge(waiter.request().priority(), -1, Integer::sum);
    }
    if (waiting.isEmpty()) {
      lastTurns.clear();
      currentTurn = 0;
    }
    return removed;
  }

  /**
   * Removes the next request that can be served.
   *
   * @param servable whether a link and a slot are free for a request
   * @return the request, or null when none can be served or one has been passed over for too long
   */
  LinkRequest poll(Predicate<LinkRequest> servable) {
    for (Waiter each : waiting) {
      if (servable.test(each.request())) {
        currentTurn = Math.max(currentTurn, each.turn());
        remove(each);
        return each.request();
      }
      if (isPassedOver(each) && openings.mayBegin() && openings.of(each.request().tenant()) == 0) {
        return null;
      }
    }
    return null;
  }

  /**
   * Finds the tenant of the first request without a prospective link: a link of the tenant that is
   * being opened, idle or in use and free soon. An opening takes a member's slot for as long as a
   * short statement: with one per request, 72 tenants caused an opening for nearly every statement,
   * and members rejected 40% of all arrivals.
   *
   * @param inUse number of a tenant's links that are in use and free soon
   * @param idle number of a tenant's idle links, which wait for a slot
   * @return the tenant, or empty when every request has a prospective link
   */
  Optional<TenantId> firstWithoutLink(ToIntFunction<TenantId> inUse, ToIntFunction<TenantId> idle) {
    Map<TenantId, Integer> requests = new HashMap<>();
    for (Waiter each : waiting) {
      TenantId tenant = each.request().tenant();
      int soonFree = isPassedOver(each) ? 0 : inUse.applyAsInt(tenant);
      int links = openings.of(tenant) + idle.applyAsInt(tenant) + soonFree;
      if (requests.merge(tenant, 1, Integer::sum) > links) {
        return Optional.of(tenant);
      }
    }
    return Optional.empty();
  }

  private boolean isPassedOver(Waiter waiter) {
    return worker.now() - waiter.sinceMillis() > openings.passOverMillis();
  }

  /** Waiting work of a priority and of those served first, in milliseconds of slot time. */
  long workMillis(int priority, WorkTimes workTimes) {
    long work = 0;
    for (Map.Entry<Integer, Integer> each : countByPriority.entrySet()) {
      if (each.getKey() <= priority) {
        work += each.getValue() * workTimes.averageMillis(each.getKey());
      }
    }
    return work;
  }

  /** Number of waiting requests of a priority and of those served first. */
  int count(int priority) {
    int count = 0;
    for (Map.Entry<Integer, Integer> each : countByPriority.entrySet()) {
      count += each.getKey() <= priority ? each.getValue() : 0;
    }
    return count;
  }

  /** Removes and returns all requests, in queue order. */
  List<LinkRequest> takeAll() {
    return takeIf(any -> true);
  }

  /** Removes and returns the requests that match a condition, in queue order. */
  List<LinkRequest> takeIf(Predicate<LinkRequest> condition) {
    List<Waiter> taken = waiting.stream().filter(each -> condition.test(each.request())).toList();
    taken.forEach(this::remove);
    return taken.stream().map(Waiter::request).toList();
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
