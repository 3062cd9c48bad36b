package org.streamcourse.process.settings;

import java.util.List;
import java.util.Map;

/** Record types and helpers shared by the settings of controllers and proxies. */
public final class CommonSettings {
  private CommonSettings() {}

  /**
   * Name and address of a controller.
   *
   * @param name name of the controller
   * @param address address at which the controller accepts peer links
   */
  public record Peer(
      @Setting("Name of the controller.") String name,
      @Setting("Address at which the controller accepts peer links.") HostPort address) {}

  /**
   * A user who may log in.
   *
   * @param name user name
   * @param password password
   */
  public record User(@Setting("User name.") String name, @Setting("Password.") String password) {}

  /**
   * Replaces the advertised address of a peer or member, for networks with address translation.
   *
   * @param to name of a node or controller, or {@code GROUP/MEMBER}
   * @param address address to use
   */
  public record Route(
      @Setting("Name of a node or controller, or GROUP/MEMBER.") String to,
      @Setting("Address to use for it.") HostPort address) {}

  /**
   * Finds the address of a controller.
   *
   * @param controllers configured controllers
   * @param name controller's name
   * @return address or null
   */
  public static HostPort addressOf(List<Peer> controllers, String name) {
    return controllers.stream()
        .filter(each -> each.name().equals(name))
        .map(Peer::address)
        .findFirst()
        .orElse(null);
  }

  /**
   * Indexes routes by their target.
   *
   * @param routes configured routes
   * @return addresses by target
   */
  public static Map<String, HostPort> table(List<Route> routes) {
    Map<String, HostPort> table = new java.util.TreeMap<>();
    routes.forEach(each -> table.put(each.to(), each.address()));
    return table;
  }
}
