package org.streamcourse.process.settings;

import java.util.List;
import org.streamcourse.process.settings.CommonSettings.Peer;
import org.streamcourse.process.settings.CommonSettings.Route;
import org.streamcourse.process.settings.CommonSettings.User;

/**
 * Settings file of a controller.
 *
 * @param name name of this controller
 * @param dataFolder data folder of the controller
 * @param links address of the port for peer links
 * @param admin address of the admin port
 * @param metrics address of the metrics endpoint, or null
 * @param fleetKey secret shared by all processes of the fleet
 * @param controllers all controllers, this one included
 * @param platformList address of the platform's list of machines, or null
 * @param operators users of the admin port
 * @param routes addresses that replace advertised ones
 */
public record ControllerSettings(
    @Setting("Name of this controller, one of `controllers`.") String name,
    @Setting("Data folder of this process.") String dataFolder,
    @Setting("Address of the port for peer links, as IP:PORT.") HostPort links,
    @Setting("Address of the admin port (PostgreSQL protocol), as IP:PORT.") HostPort admin,
    @Setting(
            value = "Address of the metrics endpoint (Prometheus text), as IP:PORT.",
            fallback = "none")
        HostPort metrics,
    @Setting("Secret shared by all processes of the fleet.") String fleetKey,
    @Setting("All controllers, this one included.") List<Peer> controllers,
    @Setting(
            value =
                "Address of the platform's list of live and leaving machines (HTTP, /machines), as"
                    + " IP:PORT.",
            fallback = "none")
        HostPort platformList,
    @Setting("Users who may log in at the admin port.") List<User> operators,
    @Setting(value = "Addresses to use in place of the advertised ones.", fallback = "[]")
        List<Route> routes) {}
