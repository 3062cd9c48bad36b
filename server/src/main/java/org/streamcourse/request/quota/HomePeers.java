package org.streamcourse.request.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;

/**
 * What this node knows of the homes that it has asked: one that owed a sign of life and gave none
 * is suspected, and is not asked for operations until it speaks again.
 *
 * <p>All methods run on the proxy's worker.
 */
final class HomePeers {
  private static final Logger LOG = LoggerFactory.getLogger(HomePeers.class);

  /** Time between questions to a home that is suspected. */
  private static final long PROBE_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** What is known of one home. */
  private static final class Peer {
    private long heardMillis = NEVER;
    private long probedMillis;
    private boolean suspected;
  }

  private final Worker worker;
  private final HomeOutbox outbox;
  private final Map<String, Peer> peers = new HashMap<>();
  private volatile long suspicions;

  HomePeers(Worker worker, HomeOutbox outbox) {
    this.worker = worker;
    this.outbox = outbox;
  }

  boolean isSuspected(String home) {
    Peer peer = peers.get(home);
    return peer != null && peer.suspected;
  }

  /** Number of times that a home was found silent; safe from any thread. */
  long suspicions() {
    return suspicions;
  }

  void heard(String home) {
    Peer peer = peer(home);
    peer.heardMillis = worker.now();
    if (peer.suspected) {
      peer.suspected = false;
      LOG.info("home {} of tenants' limits answers again", home);
    }
  }

  /** A home gave no sign since it was asked. */
  void silentSince(String home, long askedMillis) {
    if (peer(home).heardMillis < askedMillis) {
      suspect(home, "silent for " + (worker.now() - askedMillis) + " ms");
    }
  }

  void suspect(String home, String cause) {
    Peer peer = peer(home);
    if (!peer.suspected) {
      peer.suspected = true;
      peer.probedMillis = worker.now();
      suspicions++;
      LOG.warn("home {} of tenants' limits is suspected: {}", home, cause);
    }
  }

  private Peer peer(String home) {
    return peers.computeIfAbsent(home, any -> new Peer());
  }

  /** Asks suspected homes for a sign of life, and forgets those that are no nodes any more. */
  void check(Predicate<String> isNode) {
    long now = worker.now();
    peers.keySet().removeIf(isNode.negate());
    peers.forEach(
        (home, peer) -> {
          if (peer.suspected && now - peer.probedMillis >= PROBE_MILLIS) {
            peer.probedMillis = now;
            outbox.send(home, new HomeMessage.Ask(0, List.of()));
          }
        });
  }
}
