package org.streamcourse.connection.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.version.image.Placement;
import reactor.core.scheduler.Scheduler;

/**
 * Peer links between processes on a virtual clock, with the latencies between zones and regions.
 * Messages are encoded and counted as on real links.
 */
public final class SimulatedLinks {
  /** One-way latencies by rank of distance: same zone, same region, other region. */
  private static final long[] LATENCY_MILLIS = {0, 1, 20};

  private static final int LENGTH_BYTES = Integer.BYTES;

  private record Pair(String from, String to) {}

  private final Scheduler clock;
  private final MessageCodec codec;
  private final Map<String, Placement> placements = new HashMap<>();
  private final Map<String, PeerHandler> handlers = new HashMap<>();
  private final Map<String, LinkTraffic> traffic = new TreeMap<>();
  private final Map<Pair, FramePacker> packers = new HashMap<>();
  private final Set<Pair> cuts = new HashSet<>();
  private final Set<String> isolated = new HashSet<>();

  /**
   * Creates the network, without processes.
   *
   * @param clock virtual clock
   * @param codec codec that knows all messages
   */
  public SimulatedLinks(Scheduler clock, MessageCodec codec) {
    this.clock = clock;
    this.codec = codec;
  }

  /**
   * Adds a process.
   *
   * @param name name of the process
   * @param placement region and zone
   * @return network on which the process sends
   */
  public PeerNetwork add(String name, Placement placement) {
    placements.put(name, placement);
    traffic.put(name, new LinkTraffic());
    return (peer, message) -> send(name, peer, message);
  }

  /**
   * Sets the handler of the messages that are sent to a process.
   *
   * @param name name of the process
   * @param handler handler of the messages
   */
  public void attach(String name, PeerHandler handler) {
    handlers.put(name, handler);
  }

  /**
   * Returns the counters of the messages that a process has sent.
   *
   * @param name name of the process
   * @return traffic counters
   */
  public LinkTraffic trafficOf(String name) {
    return traffic.get(name);
  }

  /** Drops all messages between two processes, in both directions, until {@link #heal}. */
  public void cut(String one, String other) {
    cuts.add(new Pair(one, other));
    cuts.add(new Pair(other, one));
  }

  /** Drops all messages from and to a process until {@link #heal}. */
  public void isolate(String name) {
    isolated.add(name);
  }

  /** Restores all links. */
  public void heal() {
    cuts.clear();
    isolated.clear();
  }

  private void send(String from, String to, Object message) {
    if (isolated.contains(from) || !placements.containsKey(to)) {
      return;
    }
    byte[] encoded = codec.encode(message);
    Placement self = placements.get(from);
    Placement peer = placements.get(to);
    PeerDistance distance = PeerDistance.between(self, peer);
    FramePacker packer = packers.computeIfAbsent(new Pair(from, to), any -> new FramePacker());
    int bytes = packer.pack(encoded, distance == PeerDistance.OTHER_REGION).length + LENGTH_BYTES;
    traffic.get(from).sent(LinkTraffic.kindOf(message), distance, bytes);
    clock.schedule(
        () -> deliver(from, to, encoded),
        LATENCY_MILLIS[self.distanceTo(peer)],
        TimeUnit.MILLISECONDS);
  }

  private void deliver(String from, String to, byte[] encoded) {
    PeerHandler handler = handlers.get(to);
    if (handler != null && !isolated.contains(to) && !cuts.contains(new Pair(from, to))) {
      handler.receive(from, codec.decode(encoded));
    }
  }
}
