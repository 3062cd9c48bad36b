package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.streamcourse.lab.simulation.ServiceChecks.LogEntry;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TermPosition;

/**
 * A simulated database member that registers itself: it holds a log, runs statements in a few slots
 * and tells the controllers of itself.
 */
final class SimServiceMember {
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final int SLOTS = 3;
  private static final int QUEUE = 24;
  private static final int PORT = 7_000;

  private final ServiceWorld world;
  private final SimHost host;
  private final List<LogEntry> received = new ArrayList<>();
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private final Set<SimServiceConnection> connections = new java.util.LinkedHashSet<>();
  private int appliedCount;
  private boolean primary;
  private boolean draining;
  private boolean departed;
  private boolean paused;
  private long term = 1;
  private long lagMillis = 8;
  private long sequence;
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

  boolean hasDeparted() {
    return departed;
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

  RegisteredMember described() {
    return new RegisteredMember(id(), host.name(), PORT, host.placement().zone(), SLOTS, draining);
  }

  void boot() {
    host.boot(this::killed);
    busy = 0;
    paused = false;
    queue.clear();
    boolean replaced =
        world.members().values().stream().anyMatch(each -> each != this && each.isPrimary());
    if (replaced) {
      primary = false;
      world.group().synchronize(this);
    }
    heartbeat();
  }

  private void killed() {
    List.copyOf(connections).forEach(SimServiceConnection::memberDied);
    connections.clear();
    busy = 0;
    queue.clear();
  }

  // ---- signs of life ----

  private void heartbeat() {
    tell();
    host.worker().schedule(HEARTBEAT_MILLIS, this::heartbeat);
  }

  /** Tells the controllers at once what has changed. */
  void tell() {
    sequence++;
    controller = (controller + 1) % World.CONTROLLERS.size();
    boolean leaves = draining;
    world.memberHeartbeat(
        this,
        World.CONTROLLERS.get(controller),
        sequence,
        () -> {
          if (leaves) {
            world.checks().drainAcknowledged(id().value());
          }
        });
  }

  /** Begins to leave: tells so until it is acknowledged, serves on, and ends. */
  void leave(long serveMillis) {
    draining = true;
    for (int i = 0; i < World.CONTROLLERS.size(); i++) {
      tell();
    }
    Worker worker = host.worker();
    worker.schedule(
        serveMillis,
        () -> {
          departed = true;
          world.memberLeaves(this);
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

  /** A commit at the primary; returns its entry. */
  LogEntry commit(String statement, long session) {
    LogEntry entry = new LogEntry(term, statement, session);
    received.add(entry);
    appliedCount = received.size();
    world.checks().committed(entry, received);
    world.group().replicate(this, received.size());
    return entry;
  }

  /** The primary's log up to a length arrives. */
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

  /** Receives nothing more; returns the end of its log. */
  TermPosition pause() {
    paused = true;
    return new TermPosition(term, received.size());
  }

  void resume() {
    paused = false;
    world.group().streamTo(this);
  }

  /** Another member leads a newer term: what it does not have is dropped. */
  void follow(SimServiceMember leader) {
    List<LogEntry> gone = notSharedWith(leader);
    primary = false;
    paused = false;
    term = leader.term;
    received.subList(received.size() - gone.size(), received.size()).clear();
    appliedCount = Math.min(appliedCount, received.size());
    if (host.isUp()) {
      tell();
    }
  }

  /** The end of this log that another member's log does not have. */
  List<LogEntry> notSharedWith(SimServiceMember leader) {
    int common = 0;
    while (common < Math.min(received.size(), leader.received.size())
        && received.get(common).equals(leader.received.get(common))) {
      common++;
    }
    return new ArrayList<>(received.subList(common, received.size()));
  }

  /** Another member leads a newer term, and can't be reached yet. */
  void loseLead() {
    primary = false;
    paused = false;
    if (host.isUp()) {
      tell();
    }
  }

  void lead(long newTerm) {
    primary = true;
    paused = false;
    term = newTerm;
    appliedCount = received.size();
    tell();
  }

  // ---- running ----

  void opened(SimServiceConnection connection) {
    connections.add(connection);
  }

  void closed(SimServiceConnection connection) {
    connections.remove(connection);
  }

  int connectionCount() {
    return connections.size();
  }

  /** Runs work in a slot; returns false when there is no room. */
  boolean run(long workMillis, Runnable work) {
    if (busy >= SLOTS) {
      if (queue.size() >= QUEUE) {
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
              Runnable next = queue.pollFirst();
              if (next != null) {
                next.run();
              }
            });
  }
}
