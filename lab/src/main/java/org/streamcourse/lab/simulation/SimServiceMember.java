package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.streamcourse.lab.simulation.ServiceChecks.LogEntry;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ReplicationStatus;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TermPosition;

/**
 * A simulated database member that registers itself with heartbeats to the controllers, holds a log
 * and runs statements in a few slots.
 */
final class SimServiceMember {
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** Time without an acknowledgement after which a member calls the next controller. */
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 1_000;

  /** Time after which a member drops a connection whose other end is dark. */
  private static final long SILENT_DROP_MILLIS = 3_000;

  private static final int SLOTS = 3;
  private static final int MAX_QUEUED = 24;
  private static final int PORT = 7_000;

  private final ServiceWorld world;
  private final SimHost host;
  private final List<LogEntry> received = new ArrayList<>();
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private final Set<SimServiceConnection> connections = new java.util.LinkedHashSet<>();
  private int appliedCount;
  private boolean primary;
  private boolean draining;
  private boolean removed;
  private boolean paused;
  private long term = 1;
  private long lagMillis = 8;
  private long sequence;
  private long acknowledgedSequence;
  private int busy;
  private int controller;

  SimServiceMember(ServiceWorld world, SimHost host) {
    this.world = world;
    this.host = host;
  }

  SimHost host() {
    return host;
  }

  MemberId id() {
    return new MemberId("i-" + host.name());
  }

  boolean isPrimary() {
    return primary && host.isUp();
  }

  boolean isRemoved() {
    return removed;
  }

  void setPrimary(boolean value) {
    primary = value;
  }

  void setLagMillis(long value) {
    lagMillis = value;
  }

  long term() {
    return term;
  }

  RegisteredMember registration() {
    return new RegisteredMember(id(), host.name(), PORT, host.placement().zone(), SLOTS, draining);
  }

  void boot() {
    host.boot(this::killed);
    busy = 0;
    paused = false;
    queue.clear();
    boolean otherPrimary =
        world.members().values().stream().anyMatch(each -> each != this && each.isPrimary());
    if (otherPrimary) {
      primary = false;
      world.group().synchronize(this);
    }
    heartbeatPeriodically();
  }

  private void killed() {
    List.copyOf(connections).forEach(SimServiceConnection::memberDied);
    connections.clear();
    busy = 0;
    queue.clear();
  }

  // ---- heartbeats ----

  private void heartbeatPeriodically() {
    sendHeartbeat();
    host.worker().schedule(HEARTBEAT_MILLIS, this::heartbeatPeriodically);
  }

  /**
   * Sends the member's current state to the next controller in turn, and to the one after it if the
   * heartbeat is refused or not acknowledged in time.
   */
  void sendHeartbeat() {
    sequence++;
    controller = (controller + 1) % World.CONTROLLERS.size();
    long sent = sequence;
    int incarnation = host.incarnation();
    boolean announced = draining;
    world.memberHeartbeat(
        this,
        World.CONTROLLERS.get(controller),
        sent,
        status -> {
          if (status == ServiceCall.Status.DONE) {
            acknowledged(sent, announced);
          } else {
            host.execute(incarnation, () -> sendAgain(sent));
          }
        });
    host.worker().schedule(HEARTBEAT_TIMEOUT_MILLIS, () -> sendAgain(sent));
  }

  private void acknowledged(long heartbeat, boolean announced) {
    acknowledgedSequence = Math.max(acknowledgedSequence, heartbeat);
    if (announced) {
      world.checks().drainAcknowledged(id().value());
    }
  }

  private void sendAgain(long heartbeat) {
    if (heartbeat == sequence && acknowledgedSequence < heartbeat) {
      sendHeartbeat();
    }
  }

  /** Announces the drain with heartbeats, serves for a while, then stops for good. */
  void drainAndStop(long drainMillis) {
    draining = true;
    for (int i = 0; i < World.CONTROLLERS.size(); i++) {
      sendHeartbeat();
    }
    Worker worker = host.worker();
    worker.schedule(
        drainMillis,
        () -> {
          removed = true;
          world.deregister(this);
          host.kill();
        });
  }

  // ---- log ----

  TermPosition position() {
    return new TermPosition(term, appliedCount);
  }

  List<LogEntry> applied() {
    return received.subList(0, appliedCount);
  }

  List<LogEntry> received() {
    return received;
  }

  boolean reaches(TermPosition floor) {
    return appliedCount >= floor.position() && term >= floor.term();
  }

  /** Commits a write at the primary; returns its log entry. */
  LogEntry commit(String statement, long session) {
    LogEntry entry = new LogEntry(term, statement, session);
    received.add(entry);
    appliedCount = received.size();
    world.checks().committed(entry, received);
    world.group().replicate(this, received.size());
    return entry;
  }

  /** Receives a primary's log up to a length. */
  void receive(SimServiceMember from, int length) {
    if (primary || paused || from.term < term) {
      return;
    }
    if (from.term > term) {
      follow(from);
    }
    for (int i = received.size(); i < Math.min(length, from.received.size()); i++) {
      received.add(from.received.get(i));
    }
    int reached = received.size();
    world.group().received(from, this, reached);
    host.worker()
        .schedule(
            lagMillis,
            () -> appliedCount = Math.max(appliedCount, Math.min(reached, received.size())));
  }

  /** Stops receiving log entries, if the term is above the newest and the member is a replica. */
  void pause(long newTerm) {
    paused |= !primary && newTerm > term;
  }

  /** Stops being primary if the term is above the newest. */
  void stepDown(long newTerm) {
    if (isPrimary() && newTerm > term) {
      demote();
    }
  }

  ReplicationStatus replicationStatus() {
    long lastTerm = received.isEmpty() ? 0 : received.get(received.size() - 1).term();
    TermPosition end = new TermPosition(lastTerm, received.size());
    return new ReplicationStatus(isPrimary(), term, end, paused);
  }

  void resume() {
    paused = false;
    world.group().streamTo(this);
  }

  /**
   * Follows the primary of a newer term and drops the log entries that the primary does not have.
   */
  void follow(SimServiceMember newPrimary) {
    List<LogEntry> dropped = notSharedWith(newPrimary);
    primary = false;
    world.group().demoted(this);
    paused = false;
    term = newPrimary.term;
    received.subList(received.size() - dropped.size(), received.size()).clear();
    appliedCount = Math.min(appliedCount, received.size());
    if (host.isUp()) {
      sendHeartbeat();
    }
  }

  /** Returns the entries after the common prefix of this log and another member's log. */
  List<LogEntry> notSharedWith(SimServiceMember other) {
    int common = 0;
    while (common < Math.min(received.size(), other.received.size())
        && received.get(common).equals(other.received.get(common))) {
      common++;
    }
    return new ArrayList<>(received.subList(common, received.size()));
  }

  /** Stops being primary without a new primary to follow yet. */
  void demote() {
    primary = false;
    paused = false;
    world.group().demoted(this);
    if (host.isUp()) {
      sendHeartbeat();
    }
  }

  void becomePrimary(long newTerm) {
    primary = true;
    paused = false;
    term = newTerm;
    appliedCount = received.size();
    sendHeartbeat();
  }

  // ---- running ----

  void opened(SimServiceConnection connection) {
    connections.add(connection);
  }

  void closed(SimServiceConnection connection) {
    connections.remove(connection);
  }

  /**
   * Makes all open connections silent: nothing arrives at either end, and no end is closed. As with
   * a dark peer, the member drops them after some seconds.
   */
  void silenceConnections() {
    List<SimServiceConnection> silent = List.copyOf(connections);
    silent.forEach(SimServiceConnection::silence);
    host.worker()
        .schedule(SILENT_DROP_MILLIS, () -> silent.forEach(SimServiceConnection::dropSilent));
  }

  int connectionCount() {
    return connections.size();
  }

  /** Runs work in a slot, queued if all slots are busy; returns false when the queue is full. */
  boolean run(long workMillis, Runnable work) {
    if (busy >= SLOTS) {
      if (queue.size() >= MAX_QUEUED) {
        return false;
      }
      queue.addLast(() -> start(workMillis, work));
      return true;
    }
    start(workMillis, work);
    return true;
  }

  private void start(long workMillis, Runnable work) {
    busy++;
    host.worker()
        .schedule(
            workMillis,
            () -> {
              busy--;
              work.run();
              startNext();
            });
  }

  /** Keeps the slot of the work that ends now, until {@link #releaseSlot}. */
  void keepSlot() {
    busy++;
  }

  void releaseSlot() {
    busy--;
    startNext();
  }

  private void startNext() {
    Runnable next = busy < SLOTS ? queue.pollFirst() : null;
    if (next != null) {
      next.run();
    }
  }
}
