package org.streamcourse.connection.member;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TenantId;

/**
 * Decides which request gets a link to one member next, and for which tenant a link is opened. A
 * request is served when a link of its tenant is idle and one of the member's slots is free.
 *
 * <p>All methods run on the proxy's worker.
 */
final class LinkDispatcher {
  private final Worker worker;
  private final LinkPool pool;
  private final LinkAllowance allowance;
  private final LinkOpenings openings;
  private final Consumer<TenantId> open;
  private final MemberSlots slots;
  private final LinkQueue waiting;
  private final HoldTimes holdTimes = new HoldTimes();
  private final WorkTimes workTimes = new WorkTimes();
  private boolean serving;

  /**
   * Creates a dispatcher without requests.
   *
   * @param worker the proxy's worker
   * @param pool links to the member
   * @param allowance limit on this node's own links
   * @param openings links to the member that are being opened
   * @param open starts to open a link for a tenant
   */
  LinkDispatcher(
      Worker worker,
      LinkPool pool,
      LinkAllowance allowance,
      LinkOpenings openings,
      Consumer<TenantId> open) {
    this.worker = worker;
    this.pool = pool;
    this.allowance = allowance;
    this.openings = openings;
    this.open = open;
    this.slots = new MemberSlots(worker, this::serveWaiting);
    this.waiting = new LinkQueue(worker, () -> estimatedWaitMillis(Integer.MAX_VALUE), openings);
  }

  MemberSlots slots() {
    return slots;
  }

  /** Returns the number of waiting requests. */
  int waiting() {
    return waiting.size();
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Grants a link, queues the request, or refuses it when the queue or the slots are too full. */
  void serveOrWait(LinkRequest request) {
    if (isServable(request)) {
      grant(request, pool.take(request));
      return;
    }
    long estimate = estimatedWaitMillis(request.priority());
    if (slots.isLimited() && estimate > request.maxWaitMillis()) {
      request.refused(
          "expected wait for a slot of the member exceeds the longest wait of the request",
          estimate);
      return;
    }
    if (waiting.add(request, estimate, allowance.maxLinks())) {
      openForWaiting();
    } else {
      long retryAfter = Math.max(estimate, openings.pauseMillis() + 1);
      request.refused(
          "all connections of this node to the member are in use and its queue is full",
          retryAfter);
    }
  }

  /** Returns whether an idle link and a slot are free for a request. */
  private boolean isServable(LinkRequest request) {
    return (slots.hasFree() || request.takesAnyTenant()) && pool.serves(request);
  }

  /** Waiting work of a priority and of those served first, with its openings, in slot time. */
  private long workAheadMillis(int priority) {
    double openingMillis = waiting.count(priority) * openings.millisPerGrant();
    return waiting.workMillis(priority, workTimes) + Math.round(openingMillis);
  }

  /** Grants a link to a request. */
  void grant(LinkRequest request, MemberLink link) {
    openings.granted();
    pool.inUse().add(link, request.priority(), worker.now());
    request.granted(link);
  }

  /** Records that a link is no longer in use. */
  void endUse(MemberLink link) {
    LinksInUse.Use use = pool.inUse().remove(link);
    if (use != null && !link.isRelayed()) {
      holdTimes.add(worker.now() - use.sinceMillis());
      addWorkTime(use.priority(), link.takeSlotMillis());
    }
  }

  private void addWorkTime(int priority, long slotMillis) {
    if (slotMillis != MemberLink.NO_SLOT) {
      workTimes.add(priority, slotMillis);
    }
  }

  /** Adds an idle link to the pool and serves waiting requests. */
  void addIdle(MemberLink link) {
    pool.addIdle(link);
    serveWaiting();
  }

  /** Grants free links and slots to waiting requests, in queue order. */
  private void serveWaiting() {
    if (serving) {
      return;
    }
    serving = true;
    LinkRequest next = waiting.poll(this::isServable);
    while (next != null) {
      grant(next, pool.take(next));
      next = waiting.poll(this::isServable);
    }
    serving = false;
    openForWaiting();
  }

  /** Opens a link for the first waiting request without a prospective link. */
  void openForWaiting() {
    if (waiting.isEmpty() || !slots.hasFree() || !openings.mayBegin()) {
      return;
    }
    Optional<TenantId> next = waiting.firstWithoutLink(pool.inUse()::soonFreeOf, pool::idleOf);
    if (next.isPresent() && makeRoom()) {
      open.accept(next.get());
    }
  }

  /** Closes an idle link if the share is used up; returns whether a link may be opened. */
  private boolean makeRoom() {
    return pool.size() < allowance.maxLinks() || pool.closeLeastNeeded();
  }

  /** Removes and returns all waiting requests, in queue order. */
  List<LinkRequest> takeWaiting() {
    return waiting.takeAll();
  }

  /** Removes and returns the waiting requests that match a condition, in queue order. */
  List<LinkRequest> takeWaiting(Predicate<LinkRequest> condition) {
    return waiting.takeIf(condition);
  }

  /**
   * Estimates how long a new request would wait for a link and a slot.
   *
   * @param priority its priority; waiting requests that are served later are not counted
   * @return milliseconds
   */
  long estimatedWaitMillis(int priority) {
    boolean room = pool.hasIdle() || pool.size() < allowance.maxLinks();
    int openLinks = Math.min(allowance.maxLinks(), pool.size());
    boolean atOnce = room && (waiting.isEmpty() || slots.isLimited());
    long forLink = atOnce ? 0 : holdTimes.estimatedWaitMillis(waiting.size() + 1, openLinks);
    return Math.max(forLink, slots.waitMillis(workAheadMillis(priority)));
  }
}
