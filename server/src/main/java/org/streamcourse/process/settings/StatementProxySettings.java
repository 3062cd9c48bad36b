package org.streamcourse.process.settings;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamcourse.request.quota.QuotaSettings;

/**
 * Settings file of a proxy for services whose members register themselves.
 *
 * @param name name of this node, for logs
 * @param region region of the node
 * @param zone zone of the node, unique among all regions
 * @param sessions address of the port for callers
 * @param readiness address of the HTTP port that reports readiness
 * @param links address of the port for peer links
 * @param metrics address of the metrics endpoint, or null
 * @param fleetKey secret shared by all processes of the fleet
 * @param controllerSeeds addresses of controllers
 * @param controllerLinkPort port at which controllers accept links
 * @param graceSeconds longest duration of a planned stop
 * @param revocationMillis time after which a revoked key must be refused even if this node has not
 *     received the revocation, or null if the key is accepted until the node receives it
 * @param limitWindowSeconds length of the window in which a tenant's limit holds
 * @param linesPerSecond limit on log lines about statements
 * @param sampleEvery one of this many completed statements is logged, 0 for none
 */
public record StatementProxySettings(
    @Setting("Name of this node, for logs.") String name,
    @Setting("Region of this node.") String region,
    @Setting("Zone of this node, unique among all regions.") String zone,
    @Setting("Address of the port for callers, as IP:PORT.") HostPort sessions,
    @Setting("Address of the HTTP port that reports readiness, as IP:PORT.") HostPort readiness,
    @Setting("Address of the port for peer links, as IP:PORT.") HostPort links,
    @Setting(
            value = "Address of the metrics endpoint (Prometheus text), as IP:PORT.",
            fallback = "none")
        HostPort metrics,
    @Setting("Secret shared by all processes of the fleet.") String fleetKey,
    @Setting("Addresses of some controllers, as IP:PORT; only the hosts are used.")
        List<HostPort> controllerSeeds,
    @Setting(value = "Port at which all controllers accept links.", min = 1, max = 65_535)
        Integer controllerLinkPort,
    @Setting(
            value = "Longest duration of a planned stop.",
            unit = "s",
            fallback = "10",
            min = 1,
            max = 3600)
        Integer graceSeconds,
    @Setting(
            value =
                "Time after which a revoked key is refused even if this node has not received the"
                    + " revocation; a node that is unconfirmed for nearly as long refuses all"
                    + " keys. Without it, a key is accepted until the node receives its"
                    + " revocation.",
            unit = "ms",
            fallback = "none",
            min = 1,
            max = 3_600_000)
        Long revocationMillis,
    @Setting(
            value =
                "Length of the window in which a tenant's limit holds; the same on all processes.",
            unit = "s",
            fallback = "5",
            min = 1,
            max = 3600)
        Integer limitWindowSeconds,
    @Setting(
            value = "Limit on log lines about statements per second; more are dropped and counted.",
            fallback = "200",
            min = 1,
            max = 100_000)
        Integer linesPerSecond,
    @Setting(
            value = "One of this many completed statements is logged; 0 for none.",
            fallback = "50",
            min = 0,
            max = 1_000_000)
        Integer sampleEvery) {
  /**
   * Returns the settings for tenant limits.
   *
   * @return window, without slack
   */
  public QuotaSettings quotas() {
    return new QuotaSettings(TimeUnit.SECONDS.toMillis(limitWindowSeconds), 0, 0);
  }
}
