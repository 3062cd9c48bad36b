package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.lab.fleet.Fleet;

/**
 * The processes, groups and routes of a fleet that faults may affect.
 *
 * @param controllers names of the controllers
 * @param proxies names of the proxies
 * @param databases names of the groups
 * @param members names of the members, identical in each group
 * @param routes routes of the relays, sorted by name
 */
record Topology(
    List<String> controllers,
    List<String> proxies,
    List<String> databases,
    List<String> members,
    List<String> routes) {

  static Topology of(Fleet fleet) {
    return new Topology(
        List.copyOf(fleet.controllers().keySet()),
        fleet.proxies().stream().map(Fleet.ProxyHandle::name).toList(),
        fleet.profile().databases(),
        fleet.members().stream().map(Fleet.MemberHandle::member).distinct().sorted().toList(),
        List.copyOf(fleet.relays().keySet()));
  }

  /** Returns the controllers and proxies. */
  List<String> productProcesses() {
    List<String> names = new ArrayList<>(controllers);
    names.addAll(proxies);
    return names;
  }

  /** Returns all processes; those of members are named {@code database-member}. */
  List<String> processes() {
    List<String> names = productProcesses();
    for (String database : databases) {
      members.forEach(member -> names.add(database + '-' + member));
    }
    return names;
  }

  /** Returns the routes between processes, without those from callers. */
  List<String> routesBetweenProcesses() {
    return routes.stream().filter(each -> RouteSet.endsOf(each).size() == 2).toList();
  }
}
