package org.streamcourse.request.gateway;

/**
 * Timing of a gateway.
 *
 * @param acknowledgeMillis time within which a majority must receive a commit before its outcome is
 *     reported as unknown
 * @param requestRetryMillis time after which an unanswered request about a replica is sent through
 *     another gateway of the replica
 * @param freshnessWaitMillis longest time that a read waits for proof that the member is fresh
 * @param primaryWaitMillis longest time that a write waits for the member to become primary, or for
 *     held writes to be released; less than the time after which an edge abandons a write whose
 *     primary was replaced
 * @param edgeSilenceMillis time without a message from an edge after which its transactions are
 *     rolled back
 * @param keepAliveMillis interval of the keep-alive messages for open streams
 * @param windowBytes bytes of an answer that may be sent before the caller has read them
 */
public record GatewaySettings(
    long acknowledgeMillis,
    long requestRetryMillis,
    long freshnessWaitMillis,
    long primaryWaitMillis,
    long edgeSilenceMillis,
    long keepAliveMillis,
    int windowBytes) {
  /** Default values. */
  public static final GatewaySettings DEFAULT =
      new GatewaySettings(3_000, 200, 150, 250, 4_000, 1_000, 256 * 1024);
}
