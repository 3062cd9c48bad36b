package org.streamcourse.connection.member;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.streamcourse.process.Worker;

/**
 * Requests that wait for a link to one member, by priority and, among equals, in the order in which
 * they came. One that has waited for as long as it may is refused.
 *
 * <p>All methods run on the proxy's worker.
 */
final class LinkQueue {
  private record Waiter(LinkRequest request, long number) {}

  private static final Comparator<Waiter> FIRST_SERVED_FIRST =
      Comparator.comparingInt((Waiter each) -> each.request().priority())
          .thenComparingLong(Waiter::number);

  private final Worker worker;
  private final LongSupplier estimatedWaitMillis;
  private final PriorityQueue<Waiter> waiting = new PriorityQueue<>(FIRST_SERVED_FIRST);
  private long numbers;

  /**
   * Creates an empty queue.
   *
   * @param worker the proxy's worker
   * @param estimatedWaitMillis tells when there may be a link
   */
  LinkQueue(Worker worker, LongSupplier estimatedWaitMillis) {
    this.worker = worker;
    this.estimatedWaitMillis = estimatedWaitMillis;
  }

  void add(LinkRequest request, long longestMillis) {
    numbers++;
    Waiter waiter = new Waiter(request, numbers);
    waiting.add(waiter);
    worker.schedule(longestMillis, () -> expire(waiter));
  }

  private void expire(Waiter waiter) {
    if (waiting.remove(waiter)) {
      waiter
          .request()
          .refused("no connection became free in time", estimatedWaitMillis.getAsLong());
    }
  }

  /** Takes the next request; null when none waits. */
  LinkRequest poll() {
    Waiter next = waiting.poll();
    return next == null ? null : next.request();
  }

  /** Takes all requests, in no order. */
  List<LinkRequest> takeAll() {
    return takeIf(any -> true);
  }

  /** Takes the requests that a condition holds for, in no order; the others wait on. */
  List<LinkRequest> takeIf(Predicate<LinkRequest> condition) {
    List<Waiter> taken = waiting.stream().filter(each -> condition.test(each.request())).toList();
    waiting.removeAll(taken);
    return taken.stream().map(Waiter::request).toList();
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
