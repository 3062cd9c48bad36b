package org.streamcourse.connection.member;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;

/**
 * This node's links to one member, within the node's share of the connections that the member
 * accepts, and the member's health as observed by this node.
 *
 * <p>Requests wait in the order of their priorities. A request whose estimated wait exceeds its
 * longest wait is queued for a shorter time; it is refused at once when the queue is full. A member
 * is unreachable when it refuses connections, or when a command is unanswered and a new connection
 * can't be established; a member that is only slow accepts the new connection.
 *
 * <p>A link serves one tenant. When the share is used up, the idle link that is needed least is
 * closed to make room for a tenant without a link.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberLinks implements MemberLink.Owner {
  private static final Logger LOG = LoggerFactory.getLogger(MemberLinks.class);

  /** Time between attempts to reach an unreachable member. */
  private static final long RETRY_MILLIS = 300;

  /**
   * Pause after the member refused a connection. It is short, since the member counts connections
   * of hosts that lost power for some seconds and then has room; but not shorter, since each
   * attempt is a new connection for the member.
   */
  private static final long REFUSED_PAUSE_MILLIS = 200;

  /** Time in which a member near this node notices the end of a connection. */
  private static final long CLOSE_NOTICED_MILLIS = 20;

  private final Worker worker;
  private final MemberDialer dialer;
  private final LinkOpenings openings;
  private final String service;
  private final MemberHealth health;
  private final LinkPool pool = new LinkPool();
  private final LinkDispatcher dispatcher;
  private final RelayedLinks relayed;
  private RegisteredMember member;
  private final LinkAllowance allowance;
  private boolean retired;
  private boolean closingSilent;
  private final DrainTimer drainTimer = new DrainTimer();
  private final MemberState state;

  /**
   * Creates the links of a member without opening any.
   *
   * @param worker the proxy's worker
   * @param dialer opens connections
   * @param relay reaches the member through holders while this node may have no links
   * @param service service of the member
   * @param member the member
   * @param onHealthChange runs when the member becomes unreachable or reachable again
   */
  public MemberLinks(
      Worker worker,
      MemberDialer dialer,
      MemberRelay relay,
      String service,
      RegisteredMember member,
      Runnable onHealthChange) {
    this.worker = worker;
    this.dialer = dialer;
    this.openings = new LinkOpenings(worker, dialer);
    this.service = service;
    this.member = member;
    this.health = new MemberHealth(worker, service + '/' + member.id(), onHealthChange);
    this.allowance = new LinkAllowance(service + '/' + member.id());
    this.dispatcher = new LinkDispatcher(worker, pool, allowance, openings, this::open);
    this.relayed = new RelayedLinks(worker, relay, service, member.id(), dispatcher.slots(), this);
    this.state = MemberState.of(worker, this, pool);
  }

  /**
   * Returns the member.
   *
   * @return member as last agreed
   */
  public RegisteredMember member() {
    return member;
  }

  /** Returns the state of the member as known to this node. */
  public MemberState state() {
    return state;
  }

  /**
   * Applies the agreed configuration of the member.
   *
   * @param agreed the member as agreed
   * @param agreedShare this node's share of the member's connections
   */
  public void update(RegisteredMember agreed, LinkShare agreedShare) {
    member = agreed;
    allowance.update(agreedShare);
    dispatcher.slots().update(agreedShare.slots());
    if (member.draining() && drainTimer.start(worker.now())) {
      refuseWaiting("the member is draining");
      worker.schedule(DrainTimer.PRIMARY_MILLIS, this::closeExcessIdle);
    }
    closeExcessIdle();
    if (!holdsLinks()) {
      dispatcher.takeWaiting().forEach(this::acquire);
    } else if (pool.isEmpty() && !member.draining()) {
      open(TenantId.NONE);
    }
  }

  /**
   * Returns whether this node may have links of its own to the member.
   *
   * @return false when this node reaches the member through holders
   */
  public boolean holdsLinks() {
    return allowance.maxLinks() > 0;
  }

  /**
   * Makes this node a fallback holder of the member for some time, because none of the member's
   * holders is available. Has no effect if the agreed share doesn't permit it.
   */
  public void startFallback() {
    if (allowance.startFallback(worker.now())) {
      LOG.info("this node is now a fallback holder of {}/{}", service, member.id());
      open(TenantId.NONE);
    }
  }

  private void endExpiredFallback() {
    boolean mayClose = allowance.hasAgreedLinks() || pool.inUse().isEmpty();
    if (allowance.isFallbackExpired(worker.now()) && mayClose) {
      LOG.info("this node is no longer a fallback holder of {}/{}", service, member.id());
      allowance.endFallback();
      closeExcessIdle();
    }
  }

  /** Closes idle links of a removed member; links in use are closed when they are released. */
  public void retire() {
    retired = true;
    refuseWaiting("the member was removed from its service");
    closeExcessIdle();
  }

  private void closeExcessIdle() {
    pool.closeIdleBeyond(acceptsNoWork() ? 0 : allowance.maxLinks());
  }

  /**
   * Returns whether the member may get new work.
   *
   * @return false when the member is draining, was removed or is unreachable
   */
  public boolean isUsable() {
    return !retired && !member.draining() && isReachable();
  }

  /**
   * Returns whether the member may get work that only the primary can do.
   *
   * @return false when the member has been draining for long, was removed or is unreachable
   */
  public boolean isUsableAsPrimary() {
    return !acceptsNoWork() && isReachable();
  }

  private boolean isReachable() {
    return holdsLinks() && !relaysToOwner() ? !health.isUnreachable() : relayed.isAvailable();
  }

  /** Returns false for some time after relaying to the owner has failed. */
  private boolean relaysToOwner() {
    return allowance.prefersOwner() && relayed.isAvailable();
  }

  private boolean acceptsNoWork() {
    return retired || drainTimer.isExpired(worker.now());
  }

  /**
   * Returns whether this node can't reach the member over its own links.
   *
   * @return true when the member is unreachable
   */
  public boolean isUnreachable() {
    return health.isUnreachable();
  }

  /**
   * Returns when the member last responded over this node's own links.
   *
   * @return worker time in milliseconds; negative when there was no response
   */
  public long lastResponseMillis() {
    return health.lastResponseMillis();
  }

  /**
   * Returns the number of links that sessions use.
   *
   * @return own and relayed links that are in use
   */
  public int used() {
    return pool.inUse().size();
  }

  /**
   * Returns the number of this node's own links.
   *
   * @return links that are open or being opened
   */
  public int links() {
    return pool.size();
  }

  /**
   * Returns the number of idle links that were closed to make room for a link of another tenant.
   *
   * @return count since this node has known the member
   */
  public long handedOver() {
    return pool.handedOver();
  }

  /**
   * Returns the number of requests that wait for a link or a slot.
   *
   * @return waiting requests
   */
  public int waiting() {
    return dispatcher.waiting();
  }

  /**
   * Returns the number of the member's slots that commands on this node's links take.
   *
   * @return slots in use
   */
  public int slotsTaken() {
    return dispatcher.slots().inUse();
  }

  /**
   * Estimates how long a new request would wait for a link.
   *
   * @return milliseconds
   */
  public long estimatedWaitMillis() {
    return holdsLinks() && !relaysToOwner() ? dispatcher.estimatedWaitMillis(Integer.MAX_VALUE) : 0;
  }

  // ---- requests ----

  /**
   * Requests a link.
   *
   * @param request is notified of the outcome, during this call or later
   */
  public void acquire(LinkRequest request) {
    boolean usable = request.needsPrimary() ? isUsableAsPrimary() : isUsable();
    if (!usable) {
      request.refused("the member is draining, removed or unreachable", RETRY_MILLIS);
      return;
    }
    if (!holdsLinks() && !request.mayBeRelayed()) {
      request.refused("this node holds no connections to the member any more", RETRY_MILLIS);
      return;
    }
    if (!holdsLinks() || (prefersRelay() && mayRelay(request))) {
      acquireByRelay(request);
      return;
    }
    serveWithOwnLink(request);
  }

  /**
   * Serves a request with an own link. A standby that does so is a fallback holder for the owner,
   * except for a probe of the member's log position: the owner may be available then.
   */
  private void serveWithOwnLink(LinkRequest request) {
    if (!request.takesAnyTenant()
        && allowance.prefersOwner()
        && allowance.startFallback(worker.now())) {
      LOG.info("this standby now serves in place of the owner of {}/{}", service, member.id());
    }
    dispatcher.serveOrWait(request);
  }

  private boolean prefersRelay() {
    return relaysToOwner() || hasNoLink();
  }

  /** Returns whether this node has no link and openings are paused after a failed one. */
  private boolean hasNoLink() {
    return pool.isEmpty() && openings.pauseMillis() > 0;
  }

  private boolean mayRelay(LinkRequest request) {
    return request.mayBeRelayed() && !allowance.share().holders().isEmpty();
  }

  private void acquireByRelay(LinkRequest request) {
    MemberLink link = relayed.open(request, allowance.share());
    if (link != null) {
      dispatcher.grant(request, link);
    } else if (holdsLinks()) {
      serveWithOwnLink(request);
    } else {
      relayed.backOff(RETRY_MILLIS);
      request.refused("no holder of connections to the member is available", RETRY_MILLIS);
    }
  }

  /**
   * Releases a link.
   *
   * @param link link that was granted; it must have no outstanding answer unless it has ended
   */
  public void release(MemberLink link) {
    dispatcher.endUse(link);
    if (link.isRelayed()) {
      link.close();
      return;
    }
    if (!link.isOpen()) {
      return;
    }
    if (link.hasOutstanding() || acceptsNoWork() || pool.size() > allowance.maxLinks()) {
      link.close();
      return;
    }
    dispatcher.addIdle(link);
  }

  /**
   * Releases a link after rolling back its open transaction, if any.
   *
   * @param link link that was granted; it must have no outstanding answer unless it has ended
   */
  public void releaseRolledBack(MemberLink link) {
    if (link.state() == SessionState.IDLE || !link.isOpen() || link.isRelayed()) {
      release(link);
      return;
    }
    if (!link.isRollingBack()) {
      link.rollBackNext();
      link.flush();
    }
    link.onRolledBack(() -> releaseIdle(link));
  }

  private void releaseIdle(MemberLink link) {
    if (link.state() != SessionState.IDLE) {
      link.close();
    }
    release(link);
  }

  /**
   * Closes a link whose user no longer waits for an outstanding answer. If that has been missing
   * for long, idle links may have gone silent as well and are closed too.
   *
   * @param link link that was granted
   */
  public void drop(MemberLink link) {
    long sinceMillis = link.oldestUnansweredMillis();
    link.close();
    release(link);
    if (sinceMillis < worker.now() - AnswerLimits.SUSPECT_MILLIS) {
      pool.closeIdleUnansweredSince(sinceMillis);
    }
  }

  private void refuseWaiting(String cause) {
    dispatcher.takeWaiting().forEach(each -> each.refused(cause, RETRY_MILLIS));
  }

  // ---- connections ----

  private void open(TenantId tenant) {
    if (retired || openings.pauseMillis() > 0) {
      return;
    }
    MemberLink link =
        new MemberLink(worker, service, member.id(), tenant, dispatcher.slots(), this);
    pool.add(link);
    openings.begin(link, member);
  }

  @Override
  public void opened(MemberLink link) {
    openings.end(link);
    health.accepted(pool.size() == 1);
    release(link);
    dispatcher.openForWaiting();
  }

  @Override
  public void responded(MemberLink link) {
    if (!link.isRelayed()) {
      health.recordResponse();
    }
  }

  @Override
  public void ended(MemberLink link, Answer refusal, String cause) {
    if (link.isRelayed() || !pool.remove(link)) {
      return;
    }
    boolean neverOpened = openings.end(link);
    if (refusal != null) {
      onLinkRefused(refusal);
    } else if (neverOpened && !closingSilent) {
      openings.pause(RETRY_MILLIS);
      if (!health.respondedRecently() || pool.isEmpty()) {
        markUnreachable(cause);
      }
    }
    if (pool.isEmpty() && holdsLinks() && isUsable()) {
      open(TenantId.NONE);
    }
    if (pool.isEmpty() && refusal != null && refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS) {
      dispatcher.takeWaiting(this::mayRelay).forEach(this::acquire);
    } else if (pool.isEmpty()) {
      refuseWaiting(cause);
    }
  }

  private void onLinkRefused(Answer refusal) {
    openings.pause(REFUSED_PAUSE_MILLIS);
    LOG.info("member {}/{} refused a connection: {}", service, member.id(), refusal.code());
    boolean full = refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS;
    if (full && dispatcher.hasWaiting() && pool.closeLeastNeeded()) {
      // The member accepts another connection as soon as it has noticed the closed one.
      openings.pause(CLOSE_NOTICED_MILLIS);
      worker.schedule(CLOSE_NOTICED_MILLIS, dispatcher::openForWaiting);
    } else if (refusal.code() == AnswerCode.WRONG_MEMBER) {
      markUnreachable("another member answers at the address of this member");
    }
  }

  private void markUnreachable(String cause) {
    if (!retired) {
      health.markUnreachable(cause, this::failLinks);
    }
  }

  private void failLinks() {
    refuseWaiting("the member is unreachable");
    pool.closeAll();
  }

  // ---- health ----

  /** Checks the member's health and the fallback's end; to be called a few times per second. */
  public void check() {
    closingSilent = true;
    pool.closeSilent(worker.now());
    closingSilent = false;
    endExpiredFallback();
    if (retired || !holdsLinks()) {
      return;
    }
    if (health.isUnreachable() || pool.isEmpty()) {
      if (openings.isEmpty() && !member.draining()) {
        open(TenantId.NONE);
      }
      return;
    }
    dispatcher.openForWaiting();
    boolean unresponsive = health.isUnresponsiveSince(pool.oldestUnansweredMillis());
    if (unresponsive && openings.isEmpty()) {
      dialer.dial(
          member.host(),
          member.port(),
          new LivenessProbe(
              worker,
              LinkOpenings.CONNECT_TIMEOUT_MILLIS,
              health::recordResponse,
              this::markUnreachable));
    }
  }
}
