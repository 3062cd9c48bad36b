package org.streamcourse.version.control;

import org.streamcourse.request.quota.QuotaSettings;

/**
 * Timing of the control plane, the same on controllers and nodes.
 *
 * @param heartbeatMillis time between a node's heartbeats
 * @param gatewaySilenceMillis time without a heartbeat after which a gateway's reports are ignored
 * @param nodeLostMillis time without a heartbeat after which a node is removed
 * @param confirmationMillis age of the last confirmed heartbeat beyond which a node takes no new
 *     work
 * @param allowanceLapseMillis age of the last confirmed heartbeat beyond which a node closes its
 *     connections to members, since its allowances may be assigned to other nodes; above
 *     confirmationMillis, and below the sum of nodeLostMillis and releaseMillis by more than the
 *     time that closing connections takes
 * @param releaseMillis time after the removal of a lost node until its connections count as closed
 * @param supervisionMillis time between checks of all groups
 * @param orderRetryMillis time after which an unanswered order is sent again
 * @param promotionMillis longest time until a chosen member reports that it is primary
 * @param fenceGraceMillis time that a change of primary waits, once a majority is fenced, for a
 *     preferred member to be fenced too
 * @param holdWritesMillis longest time that a planned change of primary holds writes
 * @param quotas settings of tenants' limits
 */
public record ControlSettings(
    long heartbeatMillis,
    long gatewaySilenceMillis,
    long nodeLostMillis,
    long confirmationMillis,
    long allowanceLapseMillis,
    long releaseMillis,
    long supervisionMillis,
    long orderRetryMillis,
    long promotionMillis,
    long fenceGraceMillis,
    long holdWritesMillis,
    QuotaSettings quotas) {
  /** Values used when the settings file names none. */
  public static final ControlSettings DEFAULT =
      new ControlSettings(
          500,
          1_500,
          5_000,
          3_000,
          6_000,
          5_000,
          50,
          200,
          1_500,
          300,
          2_000,
          QuotaSettings.DEFAULT);

  /**
   * Replaces the settings of tenants' limits.
   *
   * @param next new settings of tenants' limits
   * @return changed settings
   */
  public ControlSettings withQuotas(QuotaSettings next) {
    return new ControlSettings(
        heartbeatMillis,
        gatewaySilenceMillis,
        nodeLostMillis,
        confirmationMillis,
        allowanceLapseMillis,
        releaseMillis,
        supervisionMillis,
        orderRetryMillis,
        promotionMillis,
        fenceGraceMillis,
        holdWritesMillis,
        next);
  }
}
