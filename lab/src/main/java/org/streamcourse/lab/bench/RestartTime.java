package org.streamcourse.lab.bench;

import java.sql.SQLException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.FleetProcess;

/**
 * Measures the time to restart all controllers, killed together after many configuration changes,
 * until the leader reports the latest configuration version.
 */
final class RestartTime {
  private static final int CHANGES = 1_000;
  private static final long POLL_MILLIS = 10;
  private static final long TIMEOUT_MILLIS = 120_000;

  private final Fleet fleet;

  RestartTime(Fleet fleet) {
    this.fleet = fleet;
  }

  /**
   * Changes the configuration, then kills and restarts all controllers.
   *
   * @return milliseconds from the first start until the latest version is reported
   */
  long measureMillis() throws Exception {
    String group = fleet.profile().databases().get(0);
    long latest = 0;
    for (int i = 0; i < CHANGES; i++) {
      String sql = "ALTER GROUP " + group + " SET catch_up_wait_ms = " + (20 + i % 50);
      latest = Long.parseLong(fleet.admin(sql).get(0).get("version"));
    }
    for (FleetProcess controller : fleet.controllers().values()) {
      controller.kill();
    }
    long start = System.nanoTime();
    for (FleetProcess controller : fleet.controllers().values()) {
      controller.startWithout("--bootstrap");
    }
    while (configurationVersion() != latest) {
      long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      if (waited > TIMEOUT_MILLIS) {
        throw new IllegalStateException(
            "configuration version " + latest + " not reported after " + waited + " ms");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  /** Latest configuration version that the leader reports, or -1 while there is no leader. */
  private long configurationVersion() {
    try {
      List<Map<String, String>> rows = fleet.admin("SHOW VERSIONS");
      return rows.isEmpty() ? -1 : Long.parseLong(rows.get(0).get("configuration_version"));
    } catch (SQLException e) {
      return -1;
    }
  }
}
