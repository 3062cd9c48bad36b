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
 * The simulated network. Stream messages keep their order, as on TCP; messages of the control plane
 * may in addition be lost, doubled and overtaken. A cut is silent and has a direction: what is sent
 * into it waits until the cut ends, or is lost together with the link.
 */
final class SimNetwork {
  /** Latencies and faults of the network. */
  record Conditions(long zoneMicros, long regionMicros, double loss, double duplication) {}

  private record Pair(String from, String to) {}

  /** What waits in a cut. */
  private record Held(Pair pair, Runnable delivery) {}

  private static final long LOCAL_MICROS = 50;
  private static final int JITTER_PERCENT = 30;
  private static final long REORDER_MICROS = 30_000;

  /** Longest time from what a process's network sees until the process hears of it. */
  private static final long LONGEST_WORD_MICROS = 20_000;

  private final Scheduler scheduler;
  private final UniformRandomProvider random;
  private final MessageCodec codec;
  private final Conditions conditions;
  private final FaultCounter faults;
  private final SimParts parts;
  private final Map<String, SimHost> hosts = new HashMap<>();
  private final Map<String, PeerHandler> handlers = new HashMap<>();
  private final Map<Pair, Long> lastArrival = new HashMap<>();
  private final Set<Pair> cuts = new HashSet<>();
  private final List<Held> held = new ArrayList<>();
  private final Map<Pair, SimLink> resetLinks = new HashMap<>();
  private boolean faulty;

  SimNetwork(
      Scheduler scheduler,
      UniformRandomProvider random,
      MessageCodec codec,
      Conditions conditions,
      FaultCounter faults,
      SimParts parts) {
    this.scheduler = scheduler;
    this.random = random;
    this.codec = codec;
    this.conditions = conditions;
    this.faults = faults;
    this.parts = parts;
  }

  void addHost(SimHost host) {
    hosts.put(host.name(), host);
  }

  void attach(String host, PeerHandler handler) {
    handlers.put(host, handler);
  }

  /** Switches loss and duplication of control messages. */
  void setFaulty(boolean value) {
    faulty = value;
  }

  // ---- cuts ----

  void cut(String from, String to) {
    cuts.add(new Pair(from, to));
  }

  /** Ends all cuts; what waited arrives, unless the link is declared broken. */
  void healAll() {
    cuts.clear();
    List<Held> due = new ArrayList<>(held);
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
    byte[] bytes = codec.encode(parts.transmit(sender.name(), peer, message));
    SimLink link = resetLinks.get(new Pair(sender.name(), peer));
    if (link != null && !link.isUp()) {
      sendOnceOpen(link, sender, receiver, bytes);
      return;
    }
    boolean control = message instanceof ControlMessage;
    if (control && faulty && random.nextDouble() < conditions.loss()) {
      faults.count("message-lost");
      return;
    }
    int run = receiver.run();
    Runnable delivery = () -> receiver.execute(run, () -> receive(sender.name(), peer, bytes));
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
   * Resets the link from one living process to another, or the dial under way: what is on it is
   * lost. Both processes hear of it, each by a thread of its network that may have to wait for a
   * processor, so what they hear is in no certain order with what else they hear and send.
   */
  void resetLink(String from, String to) {
    SimHost sender = hosts.get(from);
    SimHost receiver = hosts.get(to);
    SimLink link = resetLinks.computeIfAbsent(new Pair(from, to), any -> new SimLink());
    boolean wasUp = link.isUp();
    boolean wasDialing = link.isDialing();
    List<SimLink.Waiting> dropped = link.reset();
    if (wasUp) {
      tell(sender, handler -> parts.linkLost(handler, from, to));
      tell(receiver, handler -> parts.linkLost(handler, to, from));
    } else if (wasDialing) {
      tellDropped(sender, to, dropped);
    }
  }

  private void sendOnceOpen(SimLink link, SimHost sender, SimHost receiver, byte[] bytes) {
    int run = receiver.run();
    Object message = codec.decode(bytes);
    Runnable delivery =
        () -> receiver.execute(run, () -> receive(sender.name(), receiver.name(), bytes));
    SimLink.Waiting waiting = new SimLink.Waiting(message, delivery);
    if (link.isDialing()) {
      link.add(waiting);
      return;
    }
    long now = scheduler.now(TimeUnit.MICROSECONDS);
    if (!receiver.isUp() || !link.mayDial(now)) {
      tellDropped(sender, receiver.name(), List.of(waiting));
      return;
    }
    link.add(waiting);
    link.dial(now);
    Pair pair = new Pair(sender.name(), receiver.name());
    int number = link.number();
    long roundTrip = 2 * latencyMicros(pair);
    scheduler.schedule(() -> opened(link, number, pair), roundTrip, TimeUnit.MICROSECONDS);
  }

  private void opened(SimLink link, int number, Pair pair) {
    if (link.number() == number) {
      link.open().forEach(each -> schedule(pair, each.delivery(), true));
    }
  }

  private void tellDropped(SimHost sender, String peer, List<SimLink.Waiting> dropped) {
    if (!dropped.isEmpty()) {
      List<Object> messages = dropped.stream().map(SimLink.Waiting::message).toList();
      tell(sender, handler -> handler.undelivered(peer, messages));
    }
  }

  private void tell(SimHost hearer, Consumer<PeerHandler> word) {
    int run = hearer.run();
    Runnable told = () -> hearer.execute(run, () -> word.accept(handlers.get(hearer.name())));
    scheduler.schedule(told, random.nextLong(LONGEST_WORD_MICROS), TimeUnit.MICROSECONDS);
  }

  private int numberOf(Pair pair) {
    SimLink link = resetLinks.get(pair);
    return link == null ? 0 : link.number();
  }

  /** Tells a sender that the receiver's machine refuses links. */
  private void refuse(SimHost sender, SimHost receiver, Object message) {
    int run = sender.run();
    List<Object> messages = List.of(message);
    Runnable word = () -> handlers.get(sender.name()).undelivered(receiver.name(), messages);
    Runnable told = () -> sender.execute(run, word);
    schedule(new Pair(receiver.name(), sender.name()), told, true);
  }

  /** Tells all peers of a process that died that their links broke. */
  void linksLost(String dead) {
    for (SimHost peer : hosts.values()) {
      PeerHandler handler = handlers.get(peer.name());
      if (peer.name().equals(dead) || handler == null || !peer.isUp()) {
        continue;
      }
      int run = peer.run();
      Runnable told = () -> peer.execute(run, () -> parts.linkLost(handler, peer.name(), dead));
      schedule(new Pair(dead, peer.name()), told, true);
    }
  }

  /** Runs a delivery at the receiver after the latency; for traffic that is no peer message. */
  void deliver(String from, String to, Runnable delivery) {
    schedule(new Pair(from, to), delivery, true);
  }

  private void schedule(Pair pair, Runnable delivery, boolean inOrder) {
    if (cuts.contains(pair)) {
      faults.count("message-held");
      if (inOrder) {
        held.add(new Held(pair, delivery));
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
    int number = numberOf(pair);
    Runnable unlessReset =
        () -> {
          if (numberOf(pair) == number) {
            delivery.run();
          }
        };
    scheduler.schedule(
        () -> arrive(pair, unlessReset, inOrder), arrival - now, TimeUnit.MICROSECONDS);
  }

  /** A cut that began while the message travelled stops it too. */
  private void arrive(Pair pair, Runnable delivery, boolean inOrder) {
    if (!cuts.contains(pair)) {
      delivery.run();
    } else if (inOrder) {
      held.add(new Held(pair, delivery));
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
