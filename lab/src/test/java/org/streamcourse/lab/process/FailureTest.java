package org.streamcourse.lab.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.FleetProcess;
import org.streamcourse.lab.fleet.Profile;
import org.streamcourse.lab.workload.Callers;
import org.streamcourse.lab.workload.Journal;
import org.streamcourse.lab.workload.MetricsReader;
import org.streamcourse.lab.workload.Verification;
import org.streamcourse.lab.workload.WriteOutcome;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Injects failures of real processes, one after the other, while callers write, read and change
 * proxies. The last test compares all responses that callers received with the databases.
 */
public class FailureTest {
  private static final int CALLERS_PER_DATABASE = 4;
  private static final long PAUSE_MILLIS = 15;
  private static final int ROAM_EVERY = 25;
  private static final long MAX_STALENESS_MILLIS = 1_500;
  private static final Duration TIMEOUT = Duration.ofSeconds(180);
  private static final int CONFIGURATION_CHANGES = 300;
  private static final int RACE_ROUNDS = 10;
  private static final long DRAIN_SETTLE_MILLIS = 3_000;
  private static final int OPERATORS = 3;

  private Fleet fleet;
  private Path folder;
  private Callers callers;
  private String database;
  private long lastUnknown;

  @BeforeClass
  public void startCallers() throws Exception {
    folder = Files.createTempDirectory("streamcourse-failures");
    fleet = new Fleet(Profile.STATIONS, folder, Fleet.Options.DEFAULT);
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
    fleet.start();
    database = Profile.STATIONS.databases().get(0);
    callers =
        Callers.prepare(
            fleet,
            CALLERS_PER_DATABASE,
            Profile.STATIONS.readShare(),
            PAUSE_MILLIS,
            ROAM_EVERY,
            MAX_STALENESS_MILLIS,
            1);
    callers.start();
    awaitBookings();
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    fleet.close();
  }

  /** Waits until bookings sent after this call are acknowledged in every database. */
  private void awaitBookings() {
    long since = System.nanoTime();
    await()
        .atMost(TIMEOUT)
        .until(
            () ->
                fleet.profile().databases().stream()
                    .allMatch(each -> bookingsSince(each, since) >= 2 * CALLERS_PER_DATABASE));
  }

  private long bookingsSince(String group, long nanos) {
    return callers.journal().acknowledged().stream()
        .filter(each -> each.database().equals(group) && each.sentAtNanos() > nanos)
        .count();
  }

  private void awaitAllMembersReachable() {
    int members = fleet.members().size();
    await()
        .atMost(TIMEOUT)
        .ignoreExceptionsInstanceOf(SQLException.class)
        .until(() -> fleet.admin("SHOW MEMBERS WHERE reachable = true").size() == members);
  }

  /** Waits for a new primary; during the change, the group has no primary for a short time. */
  private void awaitOtherPrimary(String former) {
    String query =
        "SHOW GROUPS WHERE group = "
            + database
            + " AND primary <> ''"
            + " AND primary <> "
            + former;
    await()
        .atMost(TIMEOUT)
        .ignoreExceptionsInstanceOf(SQLException.class)
        .until(() -> fleet.admin(query).size() == 1);
  }

  @Test(priority = 1)
  public void primaryIsKilled() throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    primary.process().kill();
    awaitOtherPrimary(primary.member());
    awaitBookings();
    primary.process().start();
    awaitAllMembersReachable();
  }

  @Test(priority = 2)
  public void primaryIsPausedAndResumed() throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    primary.process().pause();
    try {
      awaitOtherPrimary(primary.member());
      awaitBookings();
    } finally {
      primary.process().resume();
    }
    awaitAllMembersReachable();
    awaitBookings();
  }

  @Test(priority = 3)
  public void primaryIsPartitionedWithItsGateways() throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    Predicate<String> crossing = crossingRoutes(primary.placement().region());
    fleet.setCut(crossing, true);
    try {
      awaitOtherPrimary(primary.member());
    } finally {
      fleet.setCut(crossing, false);
    }
    awaitAllMembersReachable();
    awaitBookings();
  }

  /** Returns a predicate for routes between a region's processes and those of other regions. */
  private Predicate<String> crossingRoutes(String region) {
    return route -> {
      int colon = route.indexOf(':');
      int arrow = route.indexOf("->");
      if (colon < 0 || arrow < colon) {
        return false;
      }
      String from = route.substring(colon + 1, arrow);
      String to = route.substring(arrow + 2);
      String fullTo = route.startsWith("log:") ? from.substring(0, from.indexOf('/') + 1) + to : to;
      return isIn(region, from) != isIn(region, fullTo);
    };
  }

  private boolean isIn(String region, String process) {
    if (process.indexOf('/') >= 0) {
      String[] parts = process.split("/");
      return fleet.member(parts[0], parts[1]).placement().region().equals(region);
    }
    if (process.startsWith("c")) {
      int number = Integer.parseInt(process.substring(1)) - 1;
      return fleet.profile().regions().get(number).equals(region);
    }
    return fleet.proxies().stream()
        .anyMatch(each -> each.name().equals(process) && each.placement().region().equals(region));
  }

  @Test(priority = 4)
  public void proxyIsKilledWithOpenTransactions() throws Exception {
    FleetProcess proxy = fleet.proxies().get(2).process();
    proxy.kill();
    try {
      awaitBookings();
    } finally {
      proxy.start();
    }
    awaitBookings();
  }

  @Test(priority = 5)
  public void plannedStopsLeaveNoUnknownOutcome() throws Exception {
    awaitEarlierFailuresReported();
    long unknownBefore = callers.journal().count(WriteOutcome.UNKNOWN);
    Map<String, AtomicLong> errorsBefore = Map.copyOf(callers.journal().errors());
    for (Fleet.ProxyHandle proxy : fleet.proxies().subList(0, 2)) {
      proxy.process().terminate();
      assertTrue(proxy.process().await(TIMEOUT.toSeconds()), proxy.name() + " stops");
      proxy.process().start();
      awaitBookings();
    }
    assertEquals(
        callers.journal().count(WriteOutcome.UNKNOWN),
        unknownBefore,
        "errors before " + errorsBefore + ", after " + callers.journal().errors());
  }

  /**
   * Waits until no write becomes unknown for 12 s: a caller may see an earlier failure as late as
   * its connection's timeout.
   */
  private void awaitEarlierFailuresReported() {
    await()
        .atMost(TIMEOUT)
        .during(Duration.ofSeconds(12))
        .pollInterval(Duration.ofSeconds(1))
        .until(() -> countsUnchanged());
  }

  private boolean countsUnchanged() {
    long now = callers.journal().count(WriteOutcome.UNKNOWN);
    boolean same = now == lastUnknown;
    lastUnknown = now;
    return same;
  }

  @Test(priority = 6)
  public void leaderIsPausedAndResumed() throws Exception {
    String leader = leader();
    fleet.controllers().get(leader).pause();
    try {
      awaitLeader(each -> !each.equals(leader));
      awaitBookings();
    } finally {
      fleet.controllers().get(leader).resume();
    }
    awaitBookings();
  }

  private String leader() throws SQLException {
    List<Map<String, String>> rows = fleet.admin("SHOW CONTROLLERS WHERE role = leader");
    return rows.isEmpty() ? "" : rows.get(0).get("controller");
  }

  private void awaitLeader(Predicate<String> wanted) {
    await()
        .atMost(TIMEOUT)
        .ignoreExceptionsInstanceOf(SQLException.class)
        .until(() -> !leader().isEmpty() && wanted.test(leader()));
  }

  @Test(priority = 7)
  public void secondControllerIsLostAfterTheFirstHasRejoined() throws Exception {
    long version = change("first");
    loseStorageAndAwaitRejoin("c1");
    loseStorageAndAwaitRejoin("c2");
    assertTrue(configurationVersion() >= version, "accepted configuration change lost");
    awaitBookings();
  }

  /**
   * Kills a controller, deletes its data folder, and waits until it is a voter with a new identity.
   */
  private void loseStorageAndAwaitRejoin(String controller) throws Exception {
    String lost = controllerRows(controller).get(0).get("identity");
    FleetProcess process = fleet.controllers().get(controller);
    process.kill();
    try (Stream<Path> files = Files.walk(folder.resolve("data-" + controller))) {
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
    process.startWithout("--bootstrap");
    await()
        .atMost(TIMEOUT)
        .pollInterval(Duration.ofMillis(500))
        .ignoreExceptionsInstanceOf(SQLException.class)
        .until(() -> hasRejoined(controllerRows(controller), lost));
  }

  private List<Map<String, String>> controllerRows(String controller) throws SQLException {
    return fleet.admin("SHOW CONTROLLERS WHERE controller = " + controller);
  }

  private static boolean hasRejoined(List<Map<String, String>> rows, String lostIdentity) {
    return rows.size() == 1
        && !rows.get(0).get("identity").equals(lostIdentity)
        && !rows.get(0).get("role").equals("learner");
  }

  private long change(String id) throws SQLException {
    long milliseconds = 2_000 + Math.floorMod(id.hashCode(), 500);
    List<Map<String, String>> rows =
        fleet.admin(
            "ALTER GROUP "
                + database
                + " SET max_staleness_ms = "
                + milliseconds
                + " COMMAND '"
                + id
                + "'");
    return Long.parseLong(rows.get(0).get("version"));
  }

  private long configurationVersion() throws SQLException {
    return Long.parseLong(fleet.admin("SHOW VERSIONS").get(0).get("configuration_version"));
  }

  @Test(priority = 8)
  public void allControllersRestartAfterHundredsOfChanges() throws Exception {
    long last = 0;
    for (int i = 0; i < CONFIGURATION_CHANGES; i++) {
      last = change("many-" + i);
    }
    assertEquals(change("many-0"), last - CONFIGURATION_CHANGES + 1, "version of a resent command");
    for (FleetProcess controller : fleet.controllers().values()) {
      controller.kill();
    }
    for (FleetProcess controller : fleet.controllers().values()) {
      controller.startWithout("--bootstrap");
    }
    awaitLeader(any -> true);
    assertEquals(configurationVersion(), last);
    awaitBookings();
  }

  @Test(priority = 9)
  public void drainedMemberGetsNoNewStatements() throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    String replica =
        fleet.members().stream()
            .filter(each -> each.database().equals(database))
            .map(Fleet.MemberHandle::member)
            .filter(each -> !each.equals(primary.member()))
            .findFirst()
            .orElseThrow();
    fleet.admin("DRAIN MEMBER " + replica + " IN GROUP " + database);
    long version = configurationVersion();
    await()
        .atMost(TIMEOUT)
        .until(
            () ->
                fleet
                    .admin("SHOW VERSIONS")
                    .get(0)
                    .get("nodes_in_force")
                    .equals(Integer.toString(fleet.proxies().size())));
    assertTrue(configurationVersion() >= version);
    // Statements sent to the member before the drain was in force end within this time.
    TimeUnit.MILLISECONDS.sleep(DRAIN_SETTLE_MILLIS);
    long before = statementsRunBy(replica);
    awaitBookings();
    TimeUnit.MILLISECONDS.sleep(DRAIN_SETTLE_MILLIS);
    assertEquals(statementsRunBy(replica), before, "statements run by the drained member");
    fleet.admin("RESTORE MEMBER " + replica + " IN GROUP " + database);
    await().atMost(TIMEOUT).until(() -> statementsRunBy(replica) > before);
    awaitBookings();
  }

  private long statementsRunBy(String member) throws SQLException {
    try (Connection direct = Fleet.connect(fleet.member(database, member).sql(), database, "");
        Statement statement = direct.createStatement();
        ResultSet rows = statement.executeQuery("SHOW lab_statements")) {
      rows.next();
      return rows.getLong(1);
    }
  }

  @Test(priority = 10)
  public void plannedChangeOfPrimary() throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    String target = primary.member().equals("m1") ? "m2" : "m1";
    fleet.admin("SWITCH PRIMARY OF GROUP " + database + " TO " + target);
    String query = "SHOW GROUPS WHERE group = " + database + " AND primary = " + target;
    await().atMost(TIMEOUT).until(() -> fleet.admin(query).size() == 1);
    awaitBookings();
  }

  @Test(priority = 11)
  public void newPrimaryIsKilledToo() throws Exception {
    Fleet.MemberHandle first = fleet.primary(database);
    first.process().kill();
    awaitOtherPrimary(first.member());
    Fleet.MemberHandle second = fleet.primary(database);
    second.process().kill();
    first.process().start();
    awaitBookings();
    second.process().start();
    awaitAllMembersReachable();
    awaitBookings();
  }

  @Test(priority = 12)
  public void memberOnThePlatformListIsDrained() throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    String query = "SHOW MEMBERS WHERE draining = true";
    fleet.machineList().setLeaving(Set.of(primary.sql().toString()));
    await()
        .atMost(TIMEOUT)
        .ignoreExceptionsInstanceOf(SQLException.class)
        .until(() -> fleet.admin(query).size() == 1);
    awaitOtherPrimary(primary.member());
    awaitBookings();
    fleet.machineList().setLeaving(Set.of());
    fleet.admin("RESTORE MEMBER " + primary.member() + " IN GROUP " + database);
    awaitBookings();
    assertEquals(
        fleet.admin(query).size(), 0, "members that drain after the operator restored them");
  }

  @Test(priority = 13)
  public void oneOfSeveralConcurrentCommandsIsAccepted() throws Exception {
    for (int round = 0; round < RACE_ROUNDS; round++) {
      String sql =
          String.format(
              "ALTER GROUP %s SET catch_up_wait_ms = %%d AT VERSION %d",
              database, configurationVersion());
      List<CompletableFuture<Boolean>> operators = new ArrayList<>();
      for (int operator = 0; operator < OPERATORS; operator++) {
        String own = String.format(sql, 20 + operator);
        operators.add(CompletableFuture.supplyAsync(() -> isAccepted(own)));
      }
      long winners = operators.stream().filter(CompletableFuture::join).count();
      assertEquals(winners, 1, "commands accepted for the same expected version");
    }
  }

  private boolean isAccepted(String sql) {
    try {
      fleet.admin(sql);
      return true;
    } catch (SQLException e) {
      assertEquals(e.getSQLState(), "40001", e.getMessage());
      return false;
    }
  }

  @Test(priority = 14)
  public void proxyWithoutControllersClosesItsMemberConnections() throws Exception {
    Fleet.ProxyHandle proxy = fleet.proxies().get(0);
    assertTrue(memberConnections(proxy) > 0, "member connections before the partition");
    Predicate<String> links =
        route -> route.matches("link:(" + proxy.name() + "->c\\d|c\\d->" + proxy.name() + ")");
    fleet.setCut(links, true);
    try {
      await().atMost(TIMEOUT).until(() -> memberConnections(proxy) == 0);
    } finally {
      fleet.setCut(links, false);
    }
    await().atMost(TIMEOUT).until(() -> memberConnections(proxy) > 0);
    awaitAllMembersReachable();
    awaitBookings();
  }

  private static long memberConnections(Fleet.ProxyHandle proxy) throws Exception {
    return MetricsReader.read(proxy.metrics())
        .getOrDefault("streamcourse_member_connections", -1.0)
        .longValue();
  }

  @Test(priority = 100)
  public void responsesToCallersMatchTheDatabases() throws Exception {
    callers.stop();
    TimeUnit.SECONDS.sleep(1);
    Journal journal = callers.journal();
    Verification result = Verification.of(fleet, journal);
    assertEquals(result.lostWrites(), 0, "acknowledged writes that are missing");
    assertEquals(result.duplicateWrites(), 0, "writes that ran twice");
    assertEquals(result.falseNotRun(), 0, "writes refused as not run that did run");
    assertEquals(journal.violations().toString(), "[]");
    assertTrue(journal.count(WriteOutcome.ACKNOWLEDGED) > 500);
    assertTrue(journal.reads().size() > 2_000);
  }
}
