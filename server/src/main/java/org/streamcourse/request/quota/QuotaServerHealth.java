package org.streamcourse.request.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;

/**
 * Health of the quota servers to which this node has sent requests. A quota server that does not
 * reply in time or cannot be reached is suspected until it replies to a ping or request. A
 * suspected server gets a request only when all quota servers of the tenant are suspected.
 *
 * <p>All methods run on the proxy's worker.
 */
final class QuotaServerHealth {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaServerHealth.class);

  /** Time between pings of a suspected quota server. */
  private static final long PING_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Health of one quota server. */
  private static final class Peer {
    private long lastReplyMillis = NEVER;
    private long pingedMillis;
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

  /** Returns the number of times that a quota server became suspected; thread-safe. */
  long suspicions() {
    return suspicions;
  }

  void recordReply(String quotaServer) {
    Peer peer = peer(quotaServer);
    peer.lastReplyMillis = worker.now();
    if (peer.suspected) {
      peer.suspected = false;
      LOG.info("quota server {} responds again; requests are sent to it", quotaServer);
    }
  }

  /** Suspects a quota server that has not replied since a request was sent to it. */
  void suspectIfNoReplySince(String quotaServer, long sentMillis) {
    if (peer(quotaServer).lastReplyMillis < sentMillis) {
      suspect(quotaServer, "no reply for " + (worker.now() - sentMillis) + " ms");
    }
  }

  void suspect(String quotaServer, String cause) {
    Peer peer = peer(quotaServer);
    if (!peer.suspected) {
      peer.suspected = true;
      peer.pingedMillis = worker.now();
      suspicions++;
      LOG.warn(
          "quota server {} is suspected: {}; other quota servers are preferred",
          quotaServer,
          cause);
    }
  }

  private Peer peer(String quotaServer) {
    return peers.computeIfAbsent(quotaServer, any -> new Peer());
  }

  /** Pings suspected quota servers, and removes those that are no longer nodes of the image. */
  void check(Predicate<String> isNode) {
    long now = worker.now();
    peers.keySet().removeIf(isNode.negate());
    peers.forEach(
        (quotaServer, peer) -> {
          if (peer.suspected && now - peer.pingedMillis >= PING_MILLIS) {
            peer.pingedMillis = now;
            outbox.send(quotaServer, new QuotaMessage.Ask(0, List.of()));
          }
        });
  }
}
