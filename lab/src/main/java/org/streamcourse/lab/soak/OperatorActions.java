package org.streamcourse.lab.soak;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.streamcourse.lab.fleet.Fleet;

/** Executes operators' statements and members' lag settings, and records accepted versions. */
final class OperatorActions {
  /** Database name at members for connections that do not count against the connection limit. */
  private static final String LAB_DATABASE = "lab";

  private static final String VERSION = "version";
  private static final int RESTORE_ATTEMPTS = 60;
  private static final long RETRY_MILLIS = 500;

  private final Fleet fleet;
  private final AtomicLong acceptedVersion = new AtomicLong();

  OperatorActions(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns the highest configuration version that a controller accepted from an operator. */
  long acceptedVersion() {
    return acceptedVersion.get();
  }

  String run(Fault.OperatorAction action, long lastsMillis) throws Exception {
    if (action instanceof Fault.ChangeConfiguration change) {
      return execute(
          "ALTER GROUP "
              + change.database()
              + " SET max_staleness_ms = "
              + change.maxStalenessMillis());
    } else if (action instanceof Fault.SwitchPrimary change) {
      return execute("SWITCH PRIMARY OF GROUP " + change.database() + " TO " + change.member());
    }
    Fault.DrainMember drain = (Fault.DrainMember) action;
    String member = " MEMBER " + drain.member() + " IN GROUP " + drain.database();
    String outcome = execute("DRAIN" + member);
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    return outcome + ", " + restore("RESTORE" + member);
  }

  /** Restores a member, with retries: a drained member stays drained until it is restored. */
  private String restore(String sql) throws InterruptedException {
    String outcome = execute(sql);
    for (int i = 0; i < RESTORE_ATTEMPTS && outcome.startsWith("refused"); i++) {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      outcome = execute(sql);
    }
    return outcome;
  }

  private String execute(String sql) {
    try {
      List<Map<String, String>> rows = fleet.admin(sql);
      if (rows.isEmpty() || rows.get(0).get(VERSION) == null) {
        return "accepted";
      }
      long version = Long.parseLong(rows.get(0).get(VERSION));
      acceptedVersion.accumulateAndGet(version, Math::max);
      return "accepted as version " + version;
    } catch (SQLException e) {
      return "refused: " + e.getMessage().lines().findFirst().orElse("");
    }
  }

  /** Delays a member's application of its log for the duration of a fault. */
  String lag(Fault.LagMember lag, long lastsMillis) throws Exception {
    Fleet.MemberHandle member = fleet.member(lag.database(), lag.member());
    setLag(member, lag.lagMillis());
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    for (int i = 0; i < RESTORE_ATTEMPTS; i++) {
      try {
        setLag(member, 0);
        return "lagged";
      } catch (SQLException e) {
        // A member that does not run starts without lag; a paused one is retried.
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      }
    }
    return "lagged, and may still lag";
  }

  private static void setLag(Fleet.MemberHandle member, long millis) throws SQLException {
    try (Connection connection = Fleet.connect(member.sql(), LAB_DATABASE, "");
        Statement statement = connection.createStatement()) {
      statement.execute("SELECT * FROM lab_set_lag(" + millis + ")");
    }
  }
}
