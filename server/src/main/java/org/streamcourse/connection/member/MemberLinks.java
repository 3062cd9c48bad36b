package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.RegisteredMember;

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
 * <p>All methods run on the proxy's worker.
 */
public final class MemberLinks implements MemberLink.Owner {
  private static final Logger LOG = LoggerFactory.getLogger(MemberLinks.class);

  /** Silence of a member that was asked, after which a new connection shows whether it lives. */
  private static final long SILENCE_MILLIS = 250;

  /** Time that a connection may take to come about. */
  private static final long CONNECT_MILLIS = 400;

  /** Time between attempts to reach an unreachable member. */
  private static final long RETRY_MILLIS = 300;

  /**
   * Pause after the member accepted no more connections. Those of machines that lost power count
   * there for some seconds, so it is tried often; each try is a new connection for the member.
   */
  private static final long FULL_PAUSE_MILLIS = 200;

  /**
   * Part of its longest wait that a request waits although it is not expected to get a link in that
   * time: many requests that wait longer give up, so the estimate is often too high.
   */
  private static final double CROWDED_WAIT_SHARE = 0.48;

  /** Requests that may wait for each link of this node's share. */
  private static final int MOST_WAITING_A_LINK = 16;

  /** Weight of the newest value in a moving average. */
  private static final double NEWEST = 0.1;

  private static final double FIRST_HOLD_MILLIS = 30;
  private static final int NOT_CONNECTED = -1;

  private final Worker worker;
  private final MemberDialer dialer;
  private final String service;
  private final Runnable onHealthChange;
  private final Set<MemberLink> links = new LinkedHashSet<>();
  private final Map<MemberLink, Long> dialing = new HashMap<>();
  private final Map<MemberLink, Long> inUse = new HashMap<>();
  private final IdleLinks idle = new IdleLinks();
  private final LinkQueue waiting;
  private final MemberRelay relay;
  private RegisteredMember member;
  private final LinkAllowance allowance = new LinkAllowance();
  private long noRelayBeforeMillis;
  private boolean unreachable;
  private boolean retired;
  private final Departure departure = new Departure();
  private long lastHeardMillis = NOT_CONNECTED;
  private long noDialBeforeMillis;
  private double holdMillis = FIRST_HOLD_MILLIS;

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
    this.relay = relay;
    this.service = service;
    this.member = member;
    this.onHealthChange = onHealthChange;
    this.waiting = new LinkQueue(worker, this::estimatedWaitMillis);
  }

  /**
   * Returns the member.
   *
   * @return member as last agreed
   */
  public RegisteredMember member() {
    return member;
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
      dial();
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
      dial();
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
    return holdsLinks() ? !unreachable : worker.now() >= noRelayBeforeMillis;
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
    return unreachable;
  }

  /**
   * Tells when the member was last heard.
   *
   * @return worker time in milliseconds, below zero when it never was
   */
  public long lastHeardMillis() {
    return lastHeardMillis;
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
   * Estimates how long a new request would wait for a link.
   *
   * @return milliseconds
   */
  public long estimatedWaitMillis() {
    if (!holdsLinks()) {
      return 0;
    }
    boolean room = !idle.isEmpty() || links.size() < allowance.most();
    int places = Math.max(1, Math.min(allowance.most(), links.size()));
    return room && waiting.isEmpty() ? 0 : Math.round((waiting.size() + 1) * holdMillis / places);
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
    MemberLink link = waiting.isEmpty() ? idle.take(request.sessionValues()) : null;
    if (link != null) {
      grant(request, link);
      return;
    }
    waitForLink(request);
  }

  /** No link stands, and the member has just refused one. */
  private boolean hasNone() {
    return links.isEmpty() && worker.now() < noDialBeforeMillis;
  }

  private boolean mayAskOthers(LinkRequest request) {
    return request.mayGoThroughOthers() && !allowance.share().holders().isEmpty();
  }

  private void waitForLink(LinkRequest request) {
    long estimate = estimatedWaitMillis();
    if (waiting.size() >= MOST_WAITING_A_LINK * allowance.most()) {
      long pause = Math.max(0, noDialBeforeMillis - worker.now());
      request.refused("all connections of this node are in use", Math.max(estimate, pause + 1));
      return;
    }
    long longest = request.maxWaitMillis();
    long wait = estimate > longest ? Math.round(CROWDED_WAIT_SHARE * longest) : longest;
    waiting.add(request, wait);
    dialForWaiting();
  }

  private void acquireByRelay(LinkRequest request) {
    MemberLink link = new MemberLink(worker, service, member.id(), this);
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
    inUse.put(link, worker.now());
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
      holdMillis += NEWEST * (worker.now() - since - holdMillis);
    }
    if (!link.isOpen()) {
      return;
    }
    if (takesNothing() || links.size() > allowance.most()) {
      link.close();
      return;
    }
    LinkRequest next = waiting.poll();
    if (next == null) {
      idle.add(link);
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

  private void dialForWaiting() {
    if (waiting.size() > dialing.size() && links.size() < allowance.most()) {
      dial();
    }
  }

  private void dial() {
    if (retired || worker.now() < noDialBeforeMillis) {
      return;
    }
    MemberLink link = new MemberLink(worker, service, member.id(), this);
    links.add(link);
    dialing.put(link, worker.now());
    dialer.dial(member.host(), member.port(), link);
    worker.schedule(CONNECT_MILLIS, () -> connectTimedOut(link));
  }

  /** A connection that has not come about at all shows that nobody is there. */
  private void connectTimedOut(MemberLink link) {
    if (dialing.containsKey(link) && link.oldestUnansweredMillis() == Long.MAX_VALUE) {
      link.close();
    }
  }

  @Override
  public void opened(MemberLink link) {
    dialing.remove(link);
    if (unreachable) {
      LOG.info("member {}/{} is reachable again", service, member.id());
      unreachable = false;
      onHealthChange.run();
    } else if (links.size() == 1) {
      LOG.info("member {}/{} accepts this node", service, member.id());
    }
    release(link);
  }

  @Override
  public void heard(MemberLink link) {
    if (!link.isRelayed()) {
      lastHeardMillis = worker.now();
    }
  }

  @Override
  public void ended(MemberLink link, Answer refusal, String cause) {
    if (link.isRelayed()) {
      return;
    }
    links.remove(link);
    idle.remove(link);
    boolean neverOpened = dialing.remove(link) != null;
    if (refusal != null) {
      refusedLink(refusal);
    } else if (neverOpened) {
      noDialBeforeMillis = worker.now() + RETRY_MILLIS;
      if (worker.now() - lastHeardMillis > SILENCE_MILLIS || links.isEmpty()) {
        markUnreachable(cause);
      }
    }
    if (links.isEmpty() && holdsLinks() && !unreachable && !retired && !member.draining()) {
      dial();
    }
    if (links.isEmpty() && refusal != null && refusal.code() == AnswerCode.TOO_MANY_CONNECTIONS) {
      waiting.takeIf(this::mayAskOthers).forEach(this::acquire);
    } else if (links.isEmpty()) {
      refuseWaiting(cause);
    }
  }

  private void refusedLink(Answer refusal) {
    noDialBeforeMillis = worker.now() + FULL_PAUSE_MILLIS;
    LOG.info("member {}/{} refuses a connection: {}", service, member.id(), refusal.code());
    if (refusal.code() == AnswerCode.WRONG_MEMBER) {
      markUnreachable("another member is at its address");
    }
  }

  private void markUnreachable(String cause) {
    if (unreachable || retired) {
      return;
    }
    unreachable = true;
    LOG.warn("member {}/{} is unreachable: {}", service, member.id(), cause);
    refuseWaiting("the member is unreachable");
    List.copyOf(links).forEach(MemberLink::close);
    onHealthChange.run();
  }

  // ---- health ----

  /** Looks after the member's health; to be called a few times a second. */
  public void check() {
    endStandIn();
    if (retired || !holdsLinks()) {
      return;
    }
    long now = worker.now();
    if (unreachable || links.isEmpty()) {
      if (dialing.isEmpty() && !member.draining()) {
        dial();
      }
      return;
    }
    dialForWaiting();
    long asked = MemberLink.oldestUnansweredMillis(links);
    boolean silent =
        asked != Long.MAX_VALUE && now - Math.max(asked, lastHeardMillis) > SILENCE_MILLIS;
    if (silent && dialing.isEmpty()) {
      dialer.dial(
          member.host(),
          member.port(),
          new SilenceProbe(
              worker, CONNECT_MILLIS, () -> lastHeardMillis = worker.now(), this::markUnreachable));
    }
  }
}
