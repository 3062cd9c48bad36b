package org.streamcourse.process.settings;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamcourse.process.settings.CommonSettings.User;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.version.image.Placement;

/**
 * Settings file of a controller for services whose members register themselves.
 *
 * @param name name of this controller, for logs
 * @param region region of the controller, or null
 * @param zone zone of the controller, unique among all regions, or null
 * @param dataFolder data folder of the process
 * @param calls address of the HTTP port for calls of operators and members
 * @param links address of the port for peer links
 * @param metrics address of the metrics endpoint, or null
 * @param admin address of the admin port, or null
 * @param operators users of the admin port
 * @param fleetKey secret shared by all processes of the fleet
 * @param controllerSeeds addresses of controllers
 * @param bootstrap whether an empty data folder belongs to a new fleet
 * @param lostMachines number of controllers that may fail at the same time
 * @param limitWindowSeconds length of the window in which a tenant's limit holds
 * @param limitSlackShare fraction of a tenant's limit by which it may be exceeded
 * @param limitSlackOperations operations by which a tenant's limit may be exceeded in addition
 * @param promotionAgent address of the external agent that promotes members
 */
public record ServiceControllerSettings(
    @Setting("Name of this controller, for logs.") String name,
    @Setting(value = "Region of this controller.", fallback = "none") String region,
    @Setting(value = "Zone of this controller, unique among all regions.", fallback = "none")
        String zone,
    @Setting("Data folder of this process.") String dataFolder,
    @Setting("Address of the HTTP port for calls of operators and members, as IP:PORT.")
        HostPort calls,
    @Setting("Address of the port for peer links, as IP:PORT.") HostPort links,
    @Setting(
            value = "Address of the metrics endpoint (Prometheus text), as IP:PORT.",
            fallback = "none")
        HostPort metrics,
    @Setting(
            value = "Address of the admin port (PostgreSQL protocol), as IP:PORT.",
            fallback = "none")
        HostPort admin,
    @Setting(value = "Users who may log in at the admin port.", fallback = "[]")
        List<User> operators,
    @Setting("Secret shared by all processes of the fleet.") String fleetKey,
    @Setting(
            "Addresses of some controllers, as IP:PORT; only the hosts are used. At the first start"
                + " of a fleet they are its first voters, the same on each controller.")
        List<HostPort> controllerSeeds,
    @Setting(value = "Whether an empty data folder belongs to a new fleet.", fallback = "false")
        Boolean bootstrap,
    @Setting(
            value =
                "Controllers that may fail at the same time; the number of voters is 2n + 1, at"
                    + " least 3.",
            fallback = "1",
            min = 0,
            max = 10)
        Integer lostMachines,
    @Setting(
            value =
                "Length of the window in which a tenant's limit holds; the same on all processes.",
            unit = "s",
            fallback = "5",
            min = 1,
            max = 3600)
        Integer limitWindowSeconds,
    @Setting(
            value = "Fraction of a tenant's limit by which it may be exceeded.",
            fallback = "0",
            min = 0,
            max = 10)
        Double limitSlackShare,
    @Setting(
            value = "Operations by which a tenant's limit may be exceeded in addition.",
            fallback = "0",
            min = 0,
            max = 1_000_000)
        Integer limitSlackOperations,
    @Setting("Address of the external agent that promotes members, as IP:PORT.")
        HostPort promotionAgent) {
  private static final int MIN_VOTERS = 3;

  /**
   * Returns the target number of voters.
   *
   * @return at least 3
   */
  public int maxVoters() {
    return Math.max(MIN_VOTERS, 2 * lostMachines + 1);
  }

  /**
   * Returns the region and zone of the controller.
   *
   * @return placement, or null if region or zone is not set
   */
  public Placement placement() {
    return region == null || zone == null ? null : new Placement(region, zone);
  }

  /**
   * Returns the settings for tenant limits.
   *
   * @return window, and the slack by which a limit may be exceeded
   */
  public QuotaSettings quotas() {
    return new QuotaSettings(
        TimeUnit.SECONDS.toMillis(limitWindowSeconds), limitSlackShare, limitSlackOperations);
  }
}
