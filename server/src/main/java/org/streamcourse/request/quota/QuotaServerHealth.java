package org.streamcourse.request.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;

/**
 * What this node knows of the quota servers that it has asked: one that owed a sign of life and
 * gave none is suspected, and is not asked for operations until it speaks again.
 *
 * <p>All methods run on the proxy's worker.
 */
final class QuotaServerHealth {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaServerHealth.class);

  /** Time between questions to a quota server that is suspected. */
  private static final long PROBE_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** What is known of one quota server. */
  private static final class Peer {
    private long heardMillis = NEVER;
    private long probedMillis;
    private boolean suspected;
  }

  private final Worker worker;
  private final QuotaOutbox outbox;
  private final Map<String, Peer> peers = new HashMap<>();
  private volatile long suspicions;

  QuotaServerHealth(Worker worker, QuotaOutbox outbox) {
    this.worker = worker;
    this.outbox = outbox;
  }

  boolean isSuspected(String quotaServer) {
    Peer peer = peers.get(quotaServer);
    return peer != null && peer.suspected;
  }

  /** Number of times that a quota server was found silent; safe from any thread. */
  long suspicions() {
    return suspicions;
  }

  void heard(String quotaServer) {
    Peer peer = peer(quotaServer);
    peer.heardMillis = worker.now();
    if (peer.suspected) {
      peer.suspected = false;
      LOG.info("quota server {} of tenants' limits answers again", quotaServer);
    }
  }

  /** A quota server gave no sign since it was asked. */
  void silentSince(String quotaServer, long askedMillis) {
    if (peer(quotaServer).heardMillis < askedMillis) {
      suspect(quotaServer, "silent for " + (worker.now() - askedMillis) + " ms");
    }
  }

  void suspect(String quotaServer, String cause) {
    Peer peer = peer(quotaServer);
    if (!peer.suspected) {
      peer.suspected = true;
      peer.probedMillis = worker.now();
      suspicions++;
      LOG.warn("quota server {} of tenants' limits is suspected: {}", quotaServer, cause);
    }
  }

  private Peer peer(String quotaServer) {
    return peers.computeIfAbsent(quotaServer, any -> new Peer());
  }

  /**
   * Asks suspected quota servers for a sign of life, and forgets those that are no nodes any more.
   */
  void check(Predicate<String> isNode) {
    long now = worker.now();
    peers.keySet().removeIf(isNode.negate());
    peers.forEach(
        (quotaServer, peer) -> {
          if (peer.suspected && now - peer.probedMillis >= PROBE_MILLIS) {
            peer.probedMillis = now;
            outbox.send(quotaServer, new QuotaMessage.Ask(0, List.of()));
          }
        });
  }
}
