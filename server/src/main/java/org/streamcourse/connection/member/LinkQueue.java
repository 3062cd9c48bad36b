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
 * Requests that wait for a link to one member: by priority; among equals tenants in turn, so that
 * one tenant's many requests delay another's by one request each; within a turn the one whose time
 * is over first. One that has waited for as long as it may is refused.
 *
 * <p>A link that is free goes to the first request of its own tenant, since a link for another one
 * must be opened first. Others are passed over for a few times as long as openings take now ({@link
 * LinkOpenings#passOverMillis}).
 *
 * <p>All methods run on the proxy's worker.
 */
final class LinkQueue {
  /**
   * Part of its longest wait that a request waits although it is not expected to get a link in that
   * time: many requests that wait longer give up, so the estimate is often too high.
   */
  private static final double CROWDED_WAIT_SHARE = 0.48;

  /** Requests that may wait for each link of this node's share. */
  private static final int MOST_WAITING_A_LINK = 16;

  private record Waiter(
      LinkRequest request, long turn, long deadlineMillis, long number, long sinceMillis) {}

  private static final Comparator<Waiter> FIRST_SERVED_FIRST =
      Comparator.comparingInt((Waiter each) -> each.request().priority())
          .thenComparingLong(Waiter::turn)
          .thenComparingLong(Waiter::deadlineMillis)
          .thenComparingLong(Waiter::number);

  private final Worker worker;
  private final LongSupplier estimatedWaitMillis;
  private final LinkOpenings openings;
  private final TreeSet<Waiter> waiting = new TreeSet<>(FIRST_SERVED_FIRST);
  private final Map<Integer, Integer> countByPriority = new HashMap<>();
  private final Map<TenantId, Long> lastTurns = new HashMap<>();
  private long presentTurn;
  private long numbers;

  /**
   * Creates an empty queue.
   *
   * @param worker the proxy's worker
   * @param estimatedWaitMillis tells when there may be a link
   * @param openings links that are being opened
   */
  LinkQueue(Worker worker, LongSupplier estimatedWaitMillis, LinkOpenings openings) {
    this.worker = worker;
    this.estimatedWaitMillis = estimatedWaitMillis;
    this.openings = openings;
  }

  /**
   * Lets a request wait; for a shorter time than it may when it is not expected to get a link.
   *
   * @param request the request
   * @param estimateMillis how long it is expected to wait
   * @param links most links of this node
   * @return false when too many wait already
   */
  boolean add(LinkRequest request, long estimateMillis, int links) {
    if (waiting.size() >= MOST_WAITING_A_LINK * links) {
      return false;
    }
    numbers++;
    long longest = request.maxWaitMillis();
    long now = worker.now();
    Waiter waiter = new Waiter(request, nextTurn(request.tenant()), now + longest, numbers, now);
    waiting.add(waiter);
    countByPriority.merge(request.priority(), 1, Integer::sum);
    long wait = estimateMillis > longest ? Math.round(CROWDED_WAIT_SHARE * longest) : longest;
    worker.schedule(wait, () -> expire(waiter));
    return true;
  }

  /** Requests without a tenant are all of the same turn, so the earliest deadline goes first. */
  private long nextTurn(TenantId tenant) {
    if (!tenant.isPresent()) {
      return presentTurn;
    }
    long turn = Math.max(presentTurn, lastTurns.getOrDefault(tenant, 0L)) + 1;
    lastTurns.put(tenant, turn);
    return turn;
  }

  private void expire(Waiter waiter) {
    if (remove(waiter)) {
      waiter
          .request()
          .refused("no connection became free in time", estimatedWaitMillis.getAsLong());
    }
  }

  private boolean remove(Waiter waiter) {
    boolean removed = waiting.remove(waiter);
    if (removed) {
      countByPriority.merge(waiter.request().priority(), -1, Integer::sum);
    }
    if (waiting.isEmpty()) {
      lastTurns.clear();
      presentTurn = 0;
    }
    return removed;
  }

  /**
   * Takes the next request that can be served.
   *
   * @param servable tells whether there are a free link and a slot for a request
   * @return request, or null when none fits or another tenant has been passed over for long enough
   */
  LinkRequest poll(Predicate<LinkRequest> servable) {
    for (Waiter each : waiting) {
      if (servable.test(each.request())) {
        presentTurn = Math.max(presentTurn, each.turn());
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
   * Finds the tenant of the first request that no link is coming to: none is being opened for it,
   * and none of its tenant's is in use that may be free soon. To open a link for each request takes
   * a member's slot as long as a short statement does: with 72 tenants a link was opened for nearly
   * each statement, and members rejected 40% of all arrivals.
   *
   * @param inUse tells how many links of a tenant are in use
   * @param idle tells how many links of a tenant are idle, for want of a slot
   * @return tenant, or nothing when links are coming to all requests
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

  /** Work that waits, in milliseconds of a slot, of requests that go before a priority's. */
  long workMillis(int priority, WorkTimes units) {
    long work = 0;
    for (Map.Entry<Integer, Integer> each : countByPriority.entrySet()) {
      if (each.getKey() <= priority) {
        work += each.getValue() * units.averageMillis(each.getKey());
      }
    }
    return work;
  }

  /** Number of requests that go before a priority's, and of its own. */
  int count(int priority) {
    int count = 0;
    for (Map.Entry<Integer, Integer> each : countByPriority.entrySet()) {
      count += each.getKey() <= priority ? each.getValue() : 0;
    }
    return count;
  }

  /** Takes all requests, in order. */
  List<LinkRequest> takeAll() {
    return takeIf(any -> true);
  }

  /** Takes the requests that a condition holds for, in order; the others wait on. */
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
