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
  private final WorkTimes units = new WorkTimes();
  private boolean serving;

  /**
   * Creates a dispatcher that nobody has asked for a link yet.
   *
   * @param worker the proxy's worker
   * @param pool the links
   * @param allowance how many there may be
   * @param openings links that are being opened
   * @param open begins to open a link for a tenant
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

  /** Number of requests that wait. */
  int waiting() {
    return waiting.size();
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Serves a request at once, or lets it wait, or refuses it when too many wait. */
  void serveOrWait(LinkRequest request) {
    if (isServable(request)) {
      grant(request, pool.take(request));
      return;
    }
    long estimate = estimatedWaitMillis(request.priority());
    if (slots.isLimited() && estimate > request.maxWaitMillis()) {
      request.refused("the member's slots are taken for longer than this may wait", estimate);
      return;
    }
    if (waiting.add(request, estimate, allowance.most())) {
      openForWaiting();
    } else {
      long retryAfter = Math.max(estimate, openings.pauseMillis() + 1);
      request.refused("all connections of this node are in use", retryAfter);
    }
  }

  /** Whether a link is idle for a request, and a slot free for what it will run. */
  private boolean isServable(LinkRequest request) {
    return (slots.hasFree() || request.takesAnyTenant()) && pool.serves(request);
  }

  /** Work that waits and goes before a priority's, with the openings that it will cause. */
  private long workAheadMillis(int priority) {
    double forOpenings = waiting.count(priority) * openings.millisAGrant();
    return waiting.workMillis(priority, units) + Math.round(forOpenings);
  }

  /** Hands out a link. */
  void grant(LinkRequest request, MemberLink link) {
    openings.granted();
    pool.inUse().add(link, request.priority(), worker.now());
    request.granted(link);
  }

  /** Notes that a link is no longer used. */
  void endUse(MemberLink link) {
    LinksInUse.Use use = pool.inUse().remove(link);
    if (use != null && !link.isRelayed()) {
      holdTimes.add(worker.now() - use.sinceMillis());
      addUnit(use.priority(), link.takeSlotMillis());
    }
  }

  private void addUnit(int priority, long slotMillis) {
    if (slotMillis != MemberLink.NO_SLOT) {
      units.add(priority, slotMillis);
    }
  }

  /** Takes in a link that is free. */
  void addIdle(MemberLink link) {
    pool.addIdle(link);
    serveWaiting();
  }

  /** Hands free links and slots to those that wait, in their order. */
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

  /** Opens a link for the first that waits and that no link is coming to. */
  void openForWaiting() {
    if (waiting.isEmpty() || !slots.hasFree() || !openings.mayBegin()) {
      return;
    }
    Optional<TenantId> next = waiting.firstWithoutLink(pool.inUse()::soonFreeOf, pool::idleOf);
    if (next.isPresent() && makeRoom()) {
      open.accept(next.get());
    }
  }

  /** Ends an idle link where all of the share stand; returns whether one may be opened. */
  private boolean makeRoom() {
    return pool.size() < allowance.most() || pool.endLeastNeeded();
  }

  /** Takes all requests that wait, in order. */
  List<LinkRequest> takeWaiting() {
    return waiting.takeAll();
  }

  /** Takes the requests that a condition holds for, in order; the others wait on. */
  List<LinkRequest> takeWaiting(Predicate<LinkRequest> condition) {
    return waiting.takeIf(condition);
  }

  /**
   * Estimates how long a new request would wait for a link and a slot.
   *
   * @param priority its priority; whoever comes after it does not count
   * @return milliseconds
   */
  long estimatedWaitMillis(int priority) {
    boolean room = pool.hasIdle() || pool.size() < allowance.most();
    int places = Math.min(allowance.most(), pool.size());
    boolean atOnce = room && (waiting.isEmpty() || slots.isLimited());
    long forLink = atOnce ? 0 : holdTimes.untilServed(waiting.size() + 1, places);
    return Math.max(forLink, slots.waitMillis(workAheadMillis(priority)));
  }
}
