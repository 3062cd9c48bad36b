package org.streamcourse.request.edge;

/**
 * Timing of an edge.
 *
 * @param readBudgetMillis time within which a read must start to run at a member
 * @param writeBudgetMillis time within which a write must start to run at a member
 * @param gatewaySilenceMillis time without a message from a gateway after which a stream through it
 *     counts as broken
 * @param replacedGraceMillis time for which a write still waits for its answer after its primary
 *     was replaced
 * @param keepAliveMillis interval of the keep-alive messages for open streams
 * @param floorRetryMillis time after which unanswered position requests of a floor search are sent
 *     again
 */
public record EdgeSettings(
    long readBudgetMillis,
    long writeBudgetMillis,
    long gatewaySilenceMillis,
    long replacedGraceMillis,
    long keepAliveMillis,
    long floorRetryMillis) {
  /** Values that apply where the settings file sets none. */
  public static final EdgeSettings DEFAULT = new EdgeSettings(4_000, 6_000, 3_500, 300, 1_000, 250);
}
