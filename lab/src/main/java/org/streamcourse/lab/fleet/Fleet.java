package org.streamcourse.lab.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.relay.Relay;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.version.image.Placement;

/**
 * A complete fleet of processes on loopback: by default three controllers, two proxies in each
 * region and three members of each database, connected by relays that add the profile's latencies.
 */
public final class Fleet implements AutoCloseable {
  /** User name of callers and operators, and of proxies at members. */
  public static final String USER = "app";

  /** Second user name of callers, for tests of how users share a member's connections. */
  public static final String OTHER_USER = "desk";

  /** Password of both users. */
  public static final String PASSWORD = "app-password";

  /** Secret with which the fleet's processes authenticate each other. */
  public static final String FLEET_KEY = "lab-fleet-key";

  private static final long READY_TIMEOUT_SECONDS = 90;
  private static final long POLL_MILLIS = 50;

  /**
   * Options of a fleet.
   *
   * @param readPolicy read policy of the proxies
   * @param lagMillis delay before replicas apply their log, by region index; no delay in other
   *     regions
   * @param latencies whether relays add the profile's latencies
   * @param controllers number of controllers, spread over the regions
   * @param proxies number of proxies, assigned two at a time to each region in turn
   */
  public record Options(
      String readPolicy,
      Map<Integer, Long> lagMillis,
      boolean latencies,
      int controllers,
      int proxies) {
    private static final int CONTROLLERS = 3;
    private static final int PROXIES = 6;

    /** Options of a fleet of the default size, without replica lag. */
    public static final Options DEFAULT = new Options("nearest-fresh", Map.of(), true);

    /**
     * Creates options for a fleet of the default size.
     *
     * @param readPolicy read policy of the proxies
     * @param lagMillis delay before replicas apply their log, by region index; no delay in other
     *     regions
     * @param latencies whether relays add the profile's latencies
     */
    public Options(String readPolicy, Map<Integer, Long> lagMillis, boolean latencies) {
      this(readPolicy, lagMillis, latencies, CONTROLLERS, PROXIES);
    }
  }

  /**
   * One member of the fleet.
   *
   * @param database group's name
   * @param member member's name
   * @param placement region and zone
   * @param sql address for SQL connections
   * @param process the member's process
   */
  public record MemberHandle(
      String database, String member, Placement placement, HostPort sql, FleetProcess process) {}

  /**
   * One proxy of the fleet.
   *
   * @param name node's name
   * @param placement region and zone
   * @param callers address for callers, through the relay that adds caller latency
   * @param direct address for callers without that relay
   * @param metrics address of the metrics endpoint
   * @param process the proxy's process
   */
  public record ProxyHandle(
      String name,
      Placement placement,
      HostPort callers,
      HostPort direct,
      HostPort metrics,
      FleetProcess process) {}

  private final FleetLayout layout;
  private final AdminClient admin;

  /**
   * Lays out a fleet without starting its processes.
   *
   * @param profile placements and sizes
   * @param folder folder for settings, data and logs
   * @param options further options
   * @throws IOException when no port is free or a file can't be written
   */
  public Fleet(Profile profile, Path folder, Options options) throws IOException {
    layout = new FleetLayout(profile, folder, options);
    admin = new AdminClient(layout.admins());
  }

  // ---- running ----

  /**
   * Starts all processes, creates the groups and waits until every proxy serves every database.
   *
   * @throws Exception when the fleet is not ready within 90 s
   */
  public void start() throws Exception {
    for (FleetProcess controller : layout.controllers().values()) {
      controller.start();
    }
    for (MemberHandle member : layout.members()) {
      member.process().start();
    }
    for (ProxyHandle proxy : layout.proxies()) {
      proxy.process().start();
    }
    for (int database = 0; database < layout.profile().databases().size(); database++) {
      createGroup(database);
    }
    awaitPrimaries();
    for (ProxyHandle proxy : layout.proxies()) {
      for (String database : layout.profile().databases()) {
        awaitServing(proxy, database);
      }
    }
  }

  private void createGroup(int database) throws Exception {
    String name = layout.profile().databases().get(database);
    StringBuilder statement = new StringBuilder("CREATE GROUP ").append(name).append(" MEMBERS (");
    String separator = "";
    for (MemberHandle member : layout.members()) {
      if (member.database().equals(name)) {
        statement
            .append(separator)
            .append(member.member())
            .append(" AT '")
            .append(member.sql())
            .append("' REGION \"")
            .append(member.placement().region())
            .append("\" ZONE \"")
            .append(member.placement().zone())
            .append("\" CONNECTIONS ")
            .append(layout.profile().connections())
            .append(" SLOTS ")
            .append(layout.profile().slots());
        separator = ", ";
      }
    }
    statement.append(") COMMAND 'create-").append(name).append("'");
    retry("create group " + name, () -> admin(statement.toString()));
  }

  private void awaitPrimaries() throws Exception {
    retry(
        "primaries",
        () -> {
          List<Map<String, String>> rows =
              admin("SHOW MEMBERS WHERE role = 'PRIMARY' AND reachable = true");
          if (rows.size() < layout.profile().databases().size()) {
            throw new SQLException(rows.size() + " groups have a reachable primary");
          }
          return rows;
        });
  }

  private void awaitServing(ProxyHandle proxy, String database) throws Exception {
    retry(
        proxy.name() + " serving " + database,
        () -> {
          try (Connection connection = connect(proxy.callers(), database, "");
              Statement statement = connection.createStatement()) {
            return statement.execute("SELECT 1");
          }
        });
  }

  private interface Attempt<T> {
    T run() throws Exception;
  }

  private static <T> T retry(String what, Attempt<T> attempt) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (true) {
      try {
        return attempt.run();
      } catch (SQLException e) {
        if (System.nanoTime() > deadline) {
          throw new IllegalStateException(
              "fleet not ready within " + READY_TIMEOUT_SECONDS + " s: " + what + ": " + e, e);
        }
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    }
  }

  /**
   * Executes an operator's statement at the first controller that accepts it.
   *
   * @param sql the statement
   * @return rows by column name
   * @throws SQLException when no controller executed the statement
   */
  public List<Map<String, String>> admin(String sql) throws SQLException {
    return admin.execute(sql);
  }

  /**
   * Opens a caller's SQL connection.
   *
   * @param address address of a proxy, or of a member for a direct connection
   * @param database database name
   * @param floor floor token to send at login, empty for none
   * @return connection
   * @throws SQLException when the connection can't be opened
   */
  public static Connection connect(HostPort address, String database, String floor)
      throws SQLException {
    return connect(address, database, USER, floor);
  }

  /**
   * Opens a caller's SQL connection.
   *
   * @param address address of a proxy, or of a member for a direct connection
   * @param database database name
   * @param user caller's user
   * @param floor floor token to send at login, empty for none
   * @return connection
   * @throws SQLException when the connection can't be opened
   */
  public static Connection connect(HostPort address, String database, String user, String floor)
      throws SQLException {
    Properties login = new Properties();
    login.setProperty("user", user);
    login.setProperty("password", PASSWORD);
    login.setProperty("connectTimeout", "5");
    login.setProperty("loginTimeout", "5");
    login.setProperty("socketTimeout", "30");
    login.setProperty("assumeMinServerVersion", "9.0");
    if (!floor.isEmpty()) {
      login.setProperty("options", "-c streamcourse.floor=" + floor);
    }
    return DriverManager.getConnection("jdbc:postgresql://" + address + '/' + database, login);
  }

  /**
   * Returns the current primary of a group.
   *
   * @param database group's name
   * @return primary according to the controllers
   * @throws SQLException when no controller replies
   */
  public MemberHandle primary(String database) throws SQLException {
    List<Map<String, String>> rows = admin("SHOW GROUPS WHERE group = " + database);
    return member(database, rows.get(0).get("primary"));
  }

  /**
   * Returns a member by name.
   *
   * @param database group's name
   * @param name member's name
   * @return member
   */
  public MemberHandle member(String database, String name) {
    return layout.members().stream()
        .filter(each -> each.database().equals(database) && each.member().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Cuts or heals all relays whose route matches a predicate. Routes look like {@code link:p1->c2},
   * {@code sql:p1->scheduling/m1} or {@code log:scheduling/m1->m2}.
   *
   * @param routes predicate on the route
   * @param cut true to cut, false to heal
   */
  public void setCut(java.util.function.Predicate<String> routes, boolean cut) {
    layout
        .relays()
        .forEach(
            (route, relay) -> {
              if (routes.test(route)) {
                if (cut) {
                  relay.cut();
                } else {
                  relay.heal();
                }
              }
            });
  }

  /**
   * Returns the relays between callers, processes and members.
   *
   * @return relays by route, see {@link #setCut}
   */
  public Map<String, Relay> relays() {
    return layout.relays();
  }

  /**
   * Returns the data folder of a process.
   *
   * @param process process name
   * @return folder, which may not exist
   */
  public Path dataFolder(String process) {
    return layout.folder().resolve("data-" + process);
  }

  /**
   * Returns the profile.
   *
   * @return placements and sizes
   */
  public Profile profile() {
    return layout.profile();
  }

  /**
   * Returns the proxies.
   *
   * @return proxies in the order of their regions
   */
  public List<ProxyHandle> proxies() {
    return layout.proxies();
  }

  /**
   * Returns the members.
   *
   * @return members of all databases
   */
  public List<MemberHandle> members() {
    return layout.members();
  }

  /**
   * Returns the controllers.
   *
   * @return processes by name
   */
  public Map<String, FleetProcess> controllers() {
    return layout.controllers();
  }

  /**
   * Returns the admin address of a controller.
   *
   * @param controller controller's name
   * @return address
   */
  public HostPort adminOf(String controller) {
    return layout.admins().get(controller);
  }

  /**
   * Returns the stub of the platform's list of machines, which the controllers poll.
   *
   * @return stub server
   */
  public MachineList machineList() {
    return layout.machineList();
  }

  /**
   * Returns all processes.
   *
   * @return controllers, proxies and members
   */
  public List<FleetProcess> processes() {
    List<FleetProcess> all = new ArrayList<>(layout.controllers().values());
    layout.proxies().forEach(each -> all.add(each.process()));
    layout.members().forEach(each -> all.add(each.process()));
    return all;
  }

  /** Kills all processes permanently and closes all relays. */
  @Override
  public void close() {
    processes().forEach(FleetProcess::killPermanently);
    layout.close();
  }
}
