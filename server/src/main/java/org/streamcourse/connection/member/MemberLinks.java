package org.streamcourse.connection.member;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

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
 * accepts, and what the node sees of the member's health.
 *
 * <p>A request waits in the order of its priority. One that would wait longer than it may, judged
 * by how long links were kept lately, waits for a shorter time; beyond a number of waiting requests
 * the next is refused at once. A member is unreachable when it refuses connections, or when it is
 * silent although it was asked and a new connection to it does not come about; one that is only
 * slow accepts the connection.
 *
 * <p>A link serves one tenant. When all links of the share stand, the idle one that is needed least
 * ends for a tenant that has none.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberLinks implements MemberLink.Owner {
  private static final Logger LOG = LoggerFactory.getLogger(MemberLinks.class);

  /** Time between attempts to reach an unreachable member. */
  private static final long RETRY_MILLIS = 300;

  /**
   * Pause after the member accepted no more connections. Those of machines that lost power count
   * there for some seconds, so it is tried often; each try is a new connection for the member.
   */
  private static final long FULL_PAUSE_MILLIS = 200;

  /** Time in which a member near this node has seen the end of a connection. */
  private static final long END_SEEN_MILLIS = 20;

  private final Worker worker;
  private final MemberDialer dialer;
  private final LinkOpenings openings;
  private final String service;
  private final MemberHealth health;
  private final LinkPool pool = new LinkPool();
  private final LinkDispatcher dispatcher;
  private final RelayedLinks relayed;
  private RegisteredMember member;
  private final LinkAllowance allowance = new LinkAllowance();
  private boolean retired;
  private final DrainTimer drainTimer = new DrainTimer();
  private final MemberState state;

  /**
   * Creates the links of a member; none is opened yet.
   *
   * @param worker the proxy's worker
   * @param dialer opens connections
   * @param relay way to the member where this node may have no links
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

  /** Returns what this node knows of the member beyond its links. */
  public MemberState state() {
    return state;
  }

  /**
   * Takes in what is agreed about the member.
   *
   * @param agreed the member
   * @param agreedShare this node's part of the member's connections
   */
  public void update(RegisteredMember agreed, LinkShare agreedShare) {
    member = agreed;
    tellRole(allowance.share().role(), agreedShare);
    allowance.update(agreedShare);
    dispatcher.slots().update(agreedShare.slots());
    if (member.draining() && drainTimer.begins(worker.now())) {
      refuseWaiting("the member leaves");
      worker.schedule(DrainTimer.PRIMARY_MILLIS, this::closeSpare);
    }
    closeSpare();
    if (!holdsLinks()) {
      dispatcher.takeWaiting().forEach(this::acquire);
    } else if (pool.isEmpty() && !member.draining()) {
      open(TenantId.NONE);
    }
  }

  private void tellRole(LinkShare.Role before, LinkShare share) {
    boolean holds = share.role() != LinkShare.Role.ASKER || before != LinkShare.Role.ASKER;
    if (share.hasOwner() && holds && share.role() != before) {
      LOG.info(
          "role for a member's connections {} {} {} {} {}",
          keyValue("member", service + '/' + member.id()),
          keyValue("role", share.role()),
          keyValue("before", before),
          keyValue("links", share.links()),
          keyValue("slots", share.slots()));
    }
  }

  /**
   * Tells whether this node may have links of its own to the member.
   *
   * @return false when it asks other nodes
   */
  public boolean holdsLinks() {
    return allowance.most() > 0;
  }

  /**
   * Holds links for a while in place of the nodes that hold the member's, since none of these can
   * be asked; without effect on a node that may not.
   */
  public void standIn() {
    if (allowance.standIn(worker.now())) {
      LOG.info("stands in for the holders of {}/{}", service, member.id());
      open(TenantId.NONE);
    }
  }

  private void endStandIn() {
    boolean awaitsNobody = allowance.keepsLinks() || pool.inUse().isEmpty();
    if (allowance.mayEnd(worker.now()) && awaitsNobody) {
      LOG.info("no longer stands in for the holders of {}/{}", service, member.id());
      allowance.end();
      closeSpare();
    }
  }

  /** The member is gone: what is idle is closed, what is in use is closed when it comes back. */
  public void retire() {
    retired = true;
    refuseWaiting("the member is gone");
    closeSpare();
  }

  private void closeSpare() {
    pool.closeIdleBeyond(takesNothing() ? 0 : allowance.most());
  }

  /**
   * Tells whether the member may get new work.
   *
   * @return false when it leaves, is gone or is unreachable
   */
  public boolean isUsable() {
    return !retired && !member.draining() && canBeAsked();
  }

  /**
   * Tells whether the member may get work that only the primary can do.
   *
   * @return false when it has been leaving for a while, is gone or is unreachable
   */
  public boolean isUsableAsPrimary() {
    return !takesNothing() && canBeAsked();
  }

  private boolean canBeAsked() {
    return holdsLinks() && !asksOthersFirst() ? !health.isUnreachable() : relayed.mayBeAsked();
  }

  /** Whether another node is asked although this one has links, unless none could help lately. */
  private boolean asksOthersFirst() {
    return allowance.asksOwnerFirst() && relayed.mayBeAsked();
  }

  private boolean takesNothing() {
    return retired || drainTimer.isOver(worker.now());
  }

  /**
   * Tells what this node sees of the member.
   *
   * @return true when it can't be reached
   */
  public boolean isUnreachable() {
    return health.isUnreachable();
  }

  /**
   * Tells when the member was last heard.
   *
   * @return worker time in milliseconds, below zero when it never was
   */
  public long lastHeardMillis() {
    return health.lastHeardMillis();
  }

  /**
   * Returns the number of links that sessions use.
   *
   * @return links handed out
   */
  public int used() {
    return pool.inUse().size();
  }

  /**
   * Returns the number of this node's own links.
   *
   * @return links that stand or are being opened
   */
  public int links() {
    return pool.size();
  }

  /**
   * Counts the idle links that ended so that another tenant could have one.
   *
   * @return count since the member is known
   */
  public long handedOver() {
    return pool.handedOver();
  }

  /**
   * Counts the requests that wait for a link or a slot now.
   *
   * @return requests that wait here
   */
  public int waiting() {
    return dispatcher.waiting();
  }

  /**
   * Counts the commands that are under way at the member over this node's links.
   *
   * @return slots taken by this node
   */
  public int slotsTaken() {
    return dispatcher.slots().underWay();
  }

  /**
   * Estimates how long a new request would wait for a link.
   *
   * @return milliseconds
   */
  public long estimatedWaitMillis() {
    return holdsLinks() && !asksOthersFirst()
        ? dispatcher.estimatedWaitMillis(Integer.MAX_VALUE)
        : 0;
  }

  // ---- requests ----

  /**
   * Asks for a link.
   *
   * @param request hears the outcome, at once or later
   */
  public void acquire(LinkRequest request) {
    boolean usable = request.needsPrimary() ? isUsableAsPrimary() : isUsable();
    if (!usable) {
      request.refused("the member takes no new work", RETRY_MILLIS);
      return;
    }
    if (!holdsLinks() && !request.mayGoThroughOthers()) {
      request.refused("this node holds no connections to the member any more", RETRY_MILLIS);
      return;
    }
    if (!holdsLinks() || (prefersOthers() && mayAskOthers(request))) {
      acquireByRelay(request);
      return;
    }
    serveHere(request);
  }

  /**
   * A standby that serves anybody does so in place of the owner. A question of its own for the
   * member's place is no such service: the owner may be well.
   */
  private void serveHere(LinkRequest request) {
    if (!request.takesAnyTenant()
        && allowance.asksOwnerFirst()
        && allowance.standIn(worker.now())) {
      LOG.info("stands in for the owner of {}/{}", service, member.id());
    }
    dispatcher.serveOrWait(request);
  }

  private boolean prefersOthers() {
    return asksOthersFirst() || hasNone();
  }

  /** No link stands, and the member has just refused one. */
  private boolean hasNone() {
    return pool.isEmpty() && openings.pauseMillis() > 0;
  }

  private boolean mayAskOthers(LinkRequest request) {
    return request.mayGoThroughOthers() && !allowance.share().holders().isEmpty();
  }

  private void acquireByRelay(LinkRequest request) {
    MemberLink link = relayed.open(request, allowance.share());
    if (link != null) {
      dispatcher.grant(request, link);
    } else if (holdsLinks()) {
      serveHere(request);
    } else {
      relayed.rest(RETRY_MILLIS);
      request.refused("no node that holds connections to the member answers", RETRY_MILLIS);
    }
  }

  /**
   * Takes a link back; no answer may be outstanding on it unless it has ended.
   *
   * @param link link that was granted
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
    if (takesNothing() || pool.size() > allowance.most()) {
      link.close();
      return;
    }
    dispatcher.addIdle(link);
  }

  /**
   * Takes a link back, and rolls back first what is open on it.
   *
   * @param link link that was granted; no answer may be outstanding on it unless it has ended
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
    health.reached(pool.size() == 1);
    release(link);
    dispatcher.openForWaiting();
  }

  @Override
  public void heard(MemberLink link) {
    if (!link.isRelayed()) {
      health.heard();
    }
  }

  @Override
  public void ended(MemberLink link, Answer refusal, String cause) {
    if (link.isRelayed() || !pool.remove(link)) {
      return;
    }
    boolean neverOpened = openings.end(link);
    if (refusal != null) {
      refusedLink(refusal);
    } else if (neverOpened) {
      openings.pause(RETRY_MILLIS);
      if (!health.heardLately() || pool.isEmpty()) {
        markUnreachable(cause);
      }
    }
    if (pool.isEmpty() && holdsLinks() && isUsable()) {
      open(TenantId.NONE);
    }
    if (pool.isEmpty() && refusal != null && refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS) {
      dispatcher.takeWaiting(this::mayAskOthers).forEach(this::acquire);
    } else if (pool.isEmpty()) {
      refuseWaiting(cause);
    }
  }

  private void refusedLink(Answer refusal) {
    openings.pause(FULL_PAUSE_MILLIS);
    LOG.info("member {}/{} refuses a connection: {}", service, member.id(), refusal.code());
    boolean full = refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS;
    if (full && dispatcher.hasWaiting() && pool.endLeastNeeded()) {
      // The member has room for another one as soon as it has seen the end.
      openings.pause(END_SEEN_MILLIS);
      worker.schedule(END_SEEN_MILLIS, dispatcher::openForWaiting);
    } else if (refusal.code() == AnswerCode.WRONG_MEMBER) {
      markUnreachable("another member is at its address");
    }
  }

  private void markUnreachable(String cause) {
    if (!retired) {
      health.lost(cause, this::giveUpLinks);
    }
  }

  private void giveUpLinks() {
    refuseWaiting("the member is unreachable");
    pool.closeAll();
  }

  // ---- health ----

  /** Looks after the member's health; to be called a few times a second. */
  public void check() {
    endStandIn();
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
    boolean silent = health.isSilentSince(pool.oldestUnansweredMillis());
    if (silent && openings.isEmpty()) {
      dialer.dial(
          member.host(),
          member.port(),
          new SilenceProbe(
              worker, LinkOpenings.CONNECT_MILLIS, health::heard, this::markUnreachable));
    }
  }
}
