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
 * Links between processes on a virtual clock, with the time that a message takes between zones and
 * regions. What is sent is encoded and counted as on real links.
 */
public final class SimulatedLinks {
  /** One-way times in milliseconds by rank of distance; those of the larger sites played. */
  private static final long[] WAY_MILLIS = {0, 1, 20};

  private static final int LENGTH_BYTES = Integer.BYTES;

  private record Pair(String from, String to) {}

  private final Scheduler clock;
  private final MessageCodec codec;
  private final Map<String, Placement> placements = new HashMap<>();
  private final Map<String, PeerHandler> handlers = new HashMap<>();
  private final Map<String, LinkTraffic> traffic = new TreeMap<>();
  private final Map<Pair, FramePacker> packers = new HashMap<>();
  private final Set<Pair> cuts = new HashSet<>();
  private final Set<String> silent = new HashSet<>();

  /**
   * Creates links.
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
   * @param name its name
   * @param placement region and zone
   * @return its way to the others
   */
  public PeerNetwork add(String name, Placement placement) {
    placements.put(name, placement);
    traffic.put(name, new LinkTraffic());
    return (peer, message) -> send(name, peer, message);
  }

  /**
   * Sets who hears what a process is sent.
   *
   * @param name its name
   * @param handler hears messages
   */
  public void attach(String name, PeerHandler handler) {
    handlers.put(name, handler);
  }

  /**
   * Returns what a process has sent.
   *
   * @param name its name
   * @return counters
   */
  public LinkTraffic trafficOf(String name) {
    return traffic.get(name);
  }

  /** Loses all that is sent between two processes from now on. */
  public void cut(String one, String other) {
    cuts.add(new Pair(one, other));
    cuts.add(new Pair(other, one));
  }

  /** Loses all that a process sends or is sent from now on. */
  public void silence(String name) {
    silent.add(name);
  }

  /** Ends all cuts and silences. */
  public void heal() {
    cuts.clear();
    silent.clear();
  }

  private void send(String from, String to, Object message) {
    if (silent.contains(from) || !placements.containsKey(to)) {
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
        () -> arrive(from, to, encoded), WAY_MILLIS[self.distanceTo(peer)], TimeUnit.MILLISECONDS);
  }

  private void arrive(String from, String to, byte[] encoded) {
    PeerHandler handler = handlers.get(to);
    if (handler != null && !silent.contains(to) && !cuts.contains(new Pair(from, to))) {
      handler.receive(from, codec.decode(encoded));
    }
  }
}
