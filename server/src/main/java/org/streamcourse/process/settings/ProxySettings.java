package org.streamcourse.process.settings;

import java.util.List;
import org.streamcourse.process.settings.CommonSettings.Peer;
import org.streamcourse.process.settings.CommonSettings.Route;
import org.streamcourse.process.settings.CommonSettings.User;

/**
 * Settings file of a proxy.
 *
 * @param name name of this node
 * @param region region of the node
 * @param zone zone of the node, unique among all regions
 * @param dataFolder data folder of the process
 * @param callers address of the port for callers
 * @param links address of the port for peer links
 * @param metrics address of the metrics endpoint, or null
 * @param fleetKey secret shared by all processes of the fleet
 * @param controllers all controllers
 * @param users users who may log in as callers
 * @param memberUser user name at the database members
 * @param memberPassword password at the database members
 * @param readPolicy policy that chooses the member for a read
 * @param warmConnections connections kept open to each member
 * @param maxQueueMillis longest expected wait for a member; requests that would wait longer are
 *     refused
 * @param readBudgetMillis time within which a read must start to run
 * @param writeBudgetMillis time within which a write must start to run
 * @param maxRequestBytes longest request of a caller
 * @param drainSeconds longest time that a planned stop waits for open transactions
 * @param workers number of worker threads
 * @param routes addresses that replace advertised ones
 */
public record ProxySettings(
    @Setting("Name of this node, unique in the fleet.") String name,
    @Setting("Region of this node.") String region,
    @Setting("Zone of this node, unique among all regions.") String zone,
    @Setting("Data folder of this process.") String dataFolder,
    @Setting("Address of the port for callers (PostgreSQL protocol), as IP:PORT.") HostPort callers,
    @Setting("Address of the port for peer links, as IP:PORT.") HostPort links,
    @Setting(
            value = "Address of the metrics endpoint (Prometheus text), as IP:PORT.",
            fallback = "none")
        HostPort metrics,
    @Setting("Secret shared by all processes of the fleet.") String fleetKey,
    @Setting("All controllers.") List<Peer> controllers,
    @Setting("Users who may log in as callers.") List<User> users,
    @Setting("User name at the database members.") String memberUser,
    @Setting("Password at the database members.") String memberPassword,
    @Setting(
            value =
                "Policy that chooses the member for a read: nearest-fresh, or the baselines"
                    + " primary-only, round-robin.",
            fallback = "nearest-fresh")
        String readPolicy,
    @Setting(
            value = "Connections kept open to each member before they are needed.",
            fallback = "4",
            min = 0,
            max = 1000)
        Integer warmConnections,
    @Setting(
            value =
                "Longest expected wait for a member; a request that would wait longer is refused"
                    + " at once.",
            unit = "ms",
            fallback = "1000",
            min = 1,
            max = 600_000)
        Long maxQueueMillis,
    @Setting(
            value = "Time within which a read must start to run.",
            unit = "ms",
            fallback = "4000",
            min = 1,
            max = 600_000)
        Long readBudgetMillis,
    @Setting(
            value = "Time within which a write must start to run.",
            unit = "ms",
            fallback = "6000",
            min = 1,
            max = 600_000)
        Long writeBudgetMillis,
    @Setting(
            value = "Longest request that a caller may send.",
            unit = "bytes",
            fallback = "67108864",
            min = 1024,
            max = 1_000_000_000)
        Integer maxRequestBytes,
    @Setting(
            value = "Longest time that a planned stop waits for open transactions.",
            unit = "s",
            fallback = "30",
            min = 0,
            max = 3600)
        Integer drainSeconds,
    @Setting(value = "Number of worker threads.", fallback = "4", min = 1, max = 256)
        Integer workers,
    @Setting(value = "Addresses to use in place of the advertised ones.", fallback = "[]")
        List<Route> routes) {}
