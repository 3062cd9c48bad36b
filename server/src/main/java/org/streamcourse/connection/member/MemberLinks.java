package org.streamcourse.connection.member;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * <p>A link serves one tenant. When all links of the share stand, the idle one that was used least
 * recently ends for a tenant that has none.
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
  private final Set<MemberLink> links = new LinkedHashSet<>();
  private final LinksInUse inUse = new LinksInUse();
  private final IdleLinks idle = new IdleLinks();
  private final LinkQueue waiting;
  private final MemberRelay relay;
  private RegisteredMember member;
  private final LinkAllowance allowance = new LinkAllowance();
  private long noRelayBeforeMillis;
  private long handedOver;
  private boolean retired;
  private final Departure departure = new Departure();
  private final HoldTimes holdTimes = new HoldTimes();
  private final MemberKnowledge knowledge;

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
    this.relay = relay;
    this.service = service;
    this.member = member;
    this.health = new MemberHealth(worker, service + '/' + member.id(), onHealthChange);
    this.waiting = new LinkQueue(worker, this::estimatedWaitMillis, openings);
    this.knowledge = MemberKnowledge.of(worker, this, links);
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
  public MemberKnowledge knowledge() {
    return knowledge;
  }

  /**
   * Takes in what is agreed about the member.
   *
   * @param agreed the member
   * @param agreedShare this node's part of the member's connections
   */
  public void update(RegisteredMember agreed, LinkShare agreedShare) {
    member = agreed;
    allowance.update(agreedShare);
    if (member.draining() && departure.begins(worker.now())) {
      refuseWaiting("the member leaves");
      worker.schedule(Departure.PRIMARY_MILLIS, this::closeSpare);
    }
    closeSpare();
    if (!holdsLinks()) {
      waiting.takeAll().forEach(this::acquire);
    } else if (links.isEmpty() && !member.draining()) {
      open(TenantId.NONE);
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
    if (allowance.mayEnd(worker.now()) && inUse.isEmpty()) {
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
    while (!idle.isEmpty() && (takesNothing() || links.size() > allowance.most())) {
      idle.takeOldest().close();
    }
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
    return holdsLinks() ? !health.isUnreachable() : worker.now() >= noRelayBeforeMillis;
  }

  private boolean takesNothing() {
    return retired || departure.isOver(worker.now());
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
    return inUse.size();
  }

  /**
   * Counts the idle links that ended so that another tenant could have one.
   *
   * @return count since the member is known
   */
  public long handedOver() {
    return handedOver;
  }

  /**
   * Estimates how long a new request would wait for a link.
   *
   * @return milliseconds
   */
  public long estimatedWaitMillis() {
    if (!holdsLinks()) {
      return 0;
    }
    boolean room = !idle.isEmpty() || links.size() < allowance.most();
    int places = Math.min(allowance.most(), links.size());
    return room && waiting.isEmpty() ? 0 : holdTimes.untilServed(waiting.size() + 1, places);
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
    if (!holdsLinks() || (hasNone() && mayAskOthers(request))) {
      acquireByRelay(request);
      return;
    }
    MemberLink link = idle.take(request);
    if (link != null) {
      grant(request, link);
      return;
    }
    waitForLink(request);
  }

  /** No link stands, and the member has just refused one. */
  private boolean hasNone() {
    return links.isEmpty() && openings.pauseMillis() > 0;
  }

  private boolean mayAskOthers(LinkRequest request) {
    return request.mayGoThroughOthers() && !allowance.share().holders().isEmpty();
  }

  private void waitForLink(LinkRequest request) {
    long estimate = estimatedWaitMillis();
    if (waiting.add(request, estimate, allowance.most())) {
      openForWaiting();
    } else {
      long retryAfter = Math.max(estimate, openings.pauseMillis() + 1);
      request.refused("all connections of this node are in use", retryAfter);
    }
  }

  private void acquireByRelay(LinkRequest request) {
    MemberLink link = new MemberLink(worker, service, member.id(), request.tenant(), this);
    LinkShare share = allowance.share();
    MemberRelay.Target target =
        new MemberRelay.Target(service, member.id(), share.holders(), share.standIns());
    MemberChannel channel =
        relay.open(target, request, link, millis -> noRelayBeforeMillis = worker.now() + millis);
    if (channel == null && holdsLinks()) {
      waitForLink(request);
      return;
    }
    if (channel == null) {
      noRelayBeforeMillis = worker.now() + RETRY_MILLIS;
      request.refused("no node that holds connections to the member answers", RETRY_MILLIS);
      return;
    }
    link.openThrough(channel);
    grant(request, link);
  }

  private void grant(LinkRequest request, MemberLink link) {
    inUse.add(link, worker.now());
    request.granted(link);
  }

  /**
   * Takes a link back; no answer may be outstanding on it unless it has ended.
   *
   * @param link link that was granted
   */
  public void release(MemberLink link) {
    Long since = inUse.remove(link);
    if (link.isRelayed()) {
      link.close();
      return;
    }
    if (since != null) {
      holdTimes.add(worker.now() - since);
    }
    if (!link.isOpen()) {
      return;
    }
    if (takesNothing() || links.size() > allowance.most()) {
      link.close();
      return;
    }
    LinkRequest next = waiting.poll(link.tenant());
    if (next == null) {
      idle.add(link);
      openForWaiting();
    } else {
      grant(next, link);
    }
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
    waiting.takeAll().forEach(each -> each.refused(cause, RETRY_MILLIS));
  }

  // ---- connections ----

  private void openForWaiting() {
    Optional<TenantId> next = waiting.firstWithoutLink(inUse::of);
    if (next.isPresent() && openings.mayBegin() && makeRoom()) {
      open(next.get());
    }
  }

  /** Ends an idle link where all of the share stand; returns whether one may be opened. */
  private boolean makeRoom() {
    return links.size() < allowance.most() || endLeastUsed();
  }

  private boolean endLeastUsed() {
    MemberLink leastUsed = idle.takeOldest();
    if (leastUsed == null) {
      return false;
    }
    links.remove(leastUsed);
    leastUsed.close();
    handedOver++;
    return true;
  }

  private void open(TenantId tenant) {
    if (retired || openings.pauseMillis() > 0) {
      return;
    }
    MemberLink link = new MemberLink(worker, service, member.id(), tenant, this);
    links.add(link);
    openings.begin(link, member);
  }

  @Override
  public void opened(MemberLink link) {
    openings.end(link);
    health.reached(links.size() == 1);
    release(link);
    openForWaiting();
  }

  @Override
  public void heard(MemberLink link) {
    if (!link.isRelayed()) {
      health.heard();
    }
  }

  @Override
  public void ended(MemberLink link, Answer refusal, String cause) {
    if (link.isRelayed() || !links.remove(link)) {
      return;
    }
    idle.remove(link);
    boolean neverOpened = openings.end(link);
    if (refusal != null) {
      refusedLink(refusal);
    } else if (neverOpened) {
      openings.pause(RETRY_MILLIS);
      if (!health.heardLately() || links.isEmpty()) {
        markUnreachable(cause);
      }
    }
    if (links.isEmpty() && holdsLinks() && isUsable()) {
      open(TenantId.NONE);
    }
    if (links.isEmpty() && refusal != null && refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS) {
      waiting.takeIf(this::mayAskOthers).forEach(this::acquire);
    } else if (links.isEmpty()) {
      refuseWaiting(cause);
    }
  }

  private void refusedLink(Answer refusal) {
    openings.pause(FULL_PAUSE_MILLIS);
    LOG.info("member {}/{} refuses a connection: {}", service, member.id(), refusal.code());
    boolean full = refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS;
    if (full && !waiting.isEmpty() && endLeastUsed()) {
      // The member has room for another one as soon as it has seen the end.
      openings.pause(END_SEEN_MILLIS);
      worker.schedule(END_SEEN_MILLIS, this::openForWaiting);
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
    List.copyOf(links).forEach(MemberLink::close);
  }

  // ---- health ----

  /** Looks after the member's health; to be called a few times a second. */
  public void check() {
    endStandIn();
    if (retired || !holdsLinks()) {
      return;
    }
    if (health.isUnreachable() || links.isEmpty()) {
      if (openings.isEmpty() && !member.draining()) {
        open(TenantId.NONE);
      }
      return;
    }
    openForWaiting();
    boolean silent = health.isSilentSince(MemberLink.oldestUnansweredMillis(links));
    if (silent && openings.isEmpty()) {
      dialer.dial(
          member.host(),
          member.port(),
          new SilenceProbe(
              worker, LinkOpenings.CONNECT_MILLIS, health::heard, this::markUnreachable));
    }
  }
}
