package org.streamcourse.lab.soak;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.streamcourse.lab.fleet.Fleet;

/** Carries out operators' statements and the members' own means, and notes accepted versions. */
final class OperatorActions {
  /** Database name with which the lab connects to members without counting against their limit. */
  private static final String LAB_DATABASE = "lab";

  private static final String VERSION = "version";
  private static final int RESTORE_ATTEMPTS = 60;
  private static final long RESTORE_PAUSE_MILLIS = 500;

  private final Fleet fleet;
  private final AtomicLong acceptedVersion = new AtomicLong();

  OperatorActions(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns the newest configuration version that an operator was told is accepted. */
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

  /** A drained member stays drained while nobody restores it, so this is tried for a while. */
  private String restore(String sql) throws InterruptedException {
    String outcome = execute(sql);
    for (int i = 0; i < RESTORE_ATTEMPTS && outcome.startsWith("refused"); i++) {
      TimeUnit.MILLISECONDS.sleep(RESTORE_PAUSE_MILLIS);
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

  /** Lets a member lag for a time. */
  String lag(Fault.LagMember lag, long lastsMillis) throws Exception {
    Fleet.MemberHandle member = fleet.member(lag.database(), lag.member());
    setLag(member, lag.lagMillis());
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    for (int i = 0; i < RESTORE_ATTEMPTS; i++) {
      try {
        setLag(member, 0);
        return "lagged";
      } catch (SQLException e) {
        // A member that does not run now starts without lag; one that is paused is asked again.
        TimeUnit.MILLISECONDS.sleep(RESTORE_PAUSE_MILLIS);
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
