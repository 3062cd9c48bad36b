package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.version.control.ControlMessage;
import reactor.core.scheduler.Scheduler;

/**
 * The simulated network. Stream messages keep their order, as on TCP; control messages may also be
 * lost, duplicated and reordered. A cut applies to one direction and resets no connection: ordered
 * messages sent during a cut are held until it ends, or are lost when the link is reset; other
 * messages are dropped.
 */
final class SimNetwork {
  /** Latencies and faults of the network. */
  record Conditions(long zoneMicros, long regionMicros, double loss, double duplication) {}

  private record Pair(String from, String to) {}

  /** A delivery that is held until a cut ends. */
  private record HeldDelivery(Pair pair, Runnable delivery) {}

  private static final long LOCAL_MICROS = 50;
  private static final int JITTER_PERCENT = 30;
  private static final long REORDER_MICROS = 30_000;

  /** Longest delay between an event on a link and its notification to the process. */
  private static final long MAX_NOTIFICATION_MICROS = 20_000;

  private final Scheduler scheduler;
  private final UniformRandomProvider random;
  private final MessageCodec codec;
  private final Conditions conditions;
  private final FaultCounter faults;
  private final SimHooks hooks;
  private final Map<String, SimHost> hosts = new HashMap<>();
  private final Map<String, PeerHandler> handlers = new HashMap<>();
  private final Map<Pair, Long> lastArrival = new HashMap<>();
  private final Set<Pair> cuts = new HashSet<>();
  private final List<HeldDelivery> held = new ArrayList<>();
  private final Map<Pair, SimLink> resetLinks = new HashMap<>();
  private final HeldMessages heldMessages;
  private boolean faulty;

  SimNetwork(
      Scheduler scheduler,
      UniformRandomProvider random,
      MessageCodec codec,
      Conditions conditions,
      FaultCounter faults,
      SimHooks hooks) {
    this.scheduler = scheduler;
    this.random = random;
    this.codec = codec;
    this.conditions = conditions;
    this.faults = faults;
    this.hooks = hooks;
    this.heldMessages = new HeldMessages(scheduler, random);
  }

  /** Returns the messages for processes that are down, which are not held by default. */
  HeldMessages heldMessages() {
    return heldMessages;
  }

  void addHost(SimHost host) {
    hosts.put(host.name(), host);
  }

  void attach(String host, PeerHandler handler) {
    handlers.put(host, handler);
  }

  /** Switches loss, duplication and reordering of control messages on or off. */
  void setFaulty(boolean value) {
    faulty = value;
  }

  // ---- cuts ----

  void cut(String from, String to) {
    cuts.add(new Pair(from, to));
  }

  /** Ends all cuts and schedules the held deliveries. */
  void healAll() {
    cuts.clear();
    List<HeldDelivery> due = new ArrayList<>(held);
    held.clear();
    due.forEach(each -> schedule(each.pair(), each.delivery(), true));
  }

  boolean isCut(String from, String to) {
    return cuts.contains(new Pair(from, to));
  }

  // ---- delivery ----

  PeerNetwork networkOf(SimHost sender) {
    return (peer, message) -> send(sender, peer, message);
  }

  private void send(SimHost sender, String peer, Object message) {
    SimHost receiver = hosts.get(peer);
    if (receiver == null || !sender.isUp()) {
      return;
    }
    byte[] bytes = codec.encode(hooks.transmit(sender.name(), peer, message));
    SimLink link = resetLinks.get(new Pair(sender.name(), peer));
    if (link != null && !link.isUp()) {
      sendAfterDial(link, sender, receiver, bytes);
      return;
    }
    boolean control = message instanceof ControlMessage;
    if (control && faulty && random.nextDouble() < conditions.loss()) {
      faults.count("message-lost");
      return;
    }
    if (heldMessages.holds(receiver, message)) {
      heldMessages.hold(receiver, () -> receive(sender.name(), peer, bytes));
      return;
    }
    int incarnation = receiver.incarnation();
    Runnable delivery =
        () -> receiver.execute(incarnation, () -> receive(sender.name(), peer, bytes));
    Pair pair = new Pair(sender.name(), peer);
    schedule(pair, delivery, !control);
    if (control && faulty && random.nextDouble() < conditions.duplication()) {
      faults.count("message-doubled");
      schedule(pair, delivery, false);
    }
    if (!receiver.isUp() && !isCut(sender.name(), peer)) {
      refuse(sender, receiver, codec.decode(bytes));
    }
  }

  private void receive(String from, String to, byte[] bytes) {
    PeerHandler handler = handlers.get(to);
    if (handler != null) {
      handler.receive(from, codec.decode(bytes));
    }
  }

  // ---- links that are reset ----

  /**
   * Resets the link from one running process to another, or its pending dial; messages in transit
   * are lost. Each process is notified after a random delay, as by a network thread that waits for
   * a processor, so the notification is not ordered with other messages received or sent.
   */
  void resetLink(String from, String to) {
    SimHost sender = hosts.get(from);
    SimHost receiver = hosts.get(to);
    SimLink link = resetLinks.computeIfAbsent(new Pair(from, to), any -> new SimLink());
    boolean wasUp = link.isUp();
    boolean wasDialing = link.isDialing();
    List<SimLink.Waiting> dropped = link.reset();
    if (wasUp) {
      notifyHandler(sender, handler -> hooks.linkLost(handler, from, to));
      notifyHandler(receiver, handler -> hooks.linkLost(handler, to, from));
    } else if (wasDialing) {
      notifyUndelivered(sender, to, dropped);
    }
  }

  private void sendAfterDial(SimLink link, SimHost sender, SimHost receiver, byte[] bytes) {
    int incarnation = receiver.incarnation();
    Object message = codec.decode(bytes);
    Runnable delivery =
        () -> receiver.execute(incarnation, () -> receive(sender.name(), receiver.name(), bytes));
    SimLink.Waiting waiting = new SimLink.Waiting(message, delivery);
    if (link.isDialing()) {
      link.add(waiting);
      return;
    }
    long now = scheduler.now(TimeUnit.MICROSECONDS);
    if (!receiver.isUp() || !link.mayDial(now)) {
      notifyUndelivered(sender, receiver.name(), List.of(waiting));
      return;
    }
    link.add(waiting);
    link.dial(now);
    Pair pair = new Pair(sender.name(), receiver.name());
    int resetsBefore = link.resets();
    long roundTrip = 2 * latencyMicros(pair);
    scheduler.schedule(() -> opened(link, resetsBefore, pair), roundTrip, TimeUnit.MICROSECONDS);
  }

  private void opened(SimLink link, int resetsBefore, Pair pair) {
    if (link.resets() == resetsBefore) {
      link.open().forEach(each -> schedule(pair, each.delivery(), true));
    }
  }

  private void notifyUndelivered(SimHost sender, String peer, List<SimLink.Waiting> dropped) {
    if (!dropped.isEmpty()) {
      List<Object> messages = dropped.stream().map(SimLink.Waiting::message).toList();
      notifyHandler(sender, handler -> handler.undelivered(peer, messages));
    }
  }

  private void notifyHandler(SimHost receiver, Consumer<PeerHandler> notification) {
    int incarnation = receiver.incarnation();
    Runnable task =
        () ->
            receiver.execute(incarnation, () -> notification.accept(handlers.get(receiver.name())));
    scheduler.schedule(task, random.nextLong(MAX_NOTIFICATION_MICROS), TimeUnit.MICROSECONDS);
  }

  private int resetsOf(Pair pair) {
    SimLink link = resetLinks.get(pair);
    return link == null ? 0 : link.resets();
  }

  /** Reports a message as undelivered because the receiver's host refuses connections. */
  private void refuse(SimHost sender, SimHost receiver, Object message) {
    int incarnation = sender.incarnation();
    List<Object> messages = List.of(message);
    Runnable notification =
        () -> handlers.get(sender.name()).undelivered(receiver.name(), messages);
    Runnable task = () -> sender.execute(incarnation, notification);
    schedule(new Pair(receiver.name(), sender.name()), task, true);
  }

  /** Notifies all peers of a dead process of the loss of their links to it. */
  void linksLost(String dead) {
    for (SimHost peer : hosts.values()) {
      PeerHandler handler = handlers.get(peer.name());
      if (peer.name().equals(dead) || handler == null || !peer.isUp()) {
        continue;
      }
      int incarnation = peer.incarnation();
      Runnable task =
          () -> peer.execute(incarnation, () -> hooks.linkLost(handler, peer.name(), dead));
      schedule(new Pair(dead, peer.name()), task, true);
    }
  }

  /** Schedules a delivery of traffic other than peer messages after the network latency. */
  void deliver(String from, String to, Runnable delivery) {
    schedule(new Pair(from, to), delivery, true);
  }

  private void schedule(Pair pair, Runnable delivery, boolean inOrder) {
    if (cuts.contains(pair)) {
      faults.count("message-held");
      if (inOrder) {
        held.add(new HeldDelivery(pair, delivery));
      }
      return;
    }
    long now = scheduler.now(TimeUnit.MICROSECONDS);
    long arrival = now + latencyMicros(pair);
    if (inOrder) {
      arrival = Math.max(arrival, lastArrival.getOrDefault(pair, 0L) + 1);
      lastArrival.put(pair, arrival);
    } else if (faulty) {
      arrival += random.nextLong(REORDER_MICROS);
    }
    int resetsBefore = resetsOf(pair);
    Runnable unlessReset =
        () -> {
          if (resetsOf(pair) == resetsBefore) {
            delivery.run();
          }
        };
    scheduler.schedule(
        () -> arrive(pair, unlessReset, inOrder), arrival - now, TimeUnit.MICROSECONDS);
  }

  /** Completes a delivery, unless a cut has begun since the message was sent. */
  private void arrive(Pair pair, Runnable delivery, boolean inOrder) {
    if (!cuts.contains(pair)) {
      delivery.run();
    } else if (inOrder) {
      held.add(new HeldDelivery(pair, delivery));
    }
  }

  private long latencyMicros(Pair pair) {
    SimHost from = hosts.get(pair.from());
    SimHost to = hosts.get(pair.to());
    long base =
        switch (from.placement().distanceTo(to.placement())) {
          case 0 -> LOCAL_MICROS;
          case 1 -> conditions.zoneMicros();
          default -> conditions.regionMicros();
        };
    return base + random.nextLong(base * JITTER_PERCENT / 100 + 1);
  }
}
