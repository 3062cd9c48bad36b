package org.streamcourse.lab.bench;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.version.image.TermPosition;

/** Records a member's applied log position and role over time by polling the member. */
final class PositionTimeline implements Runnable {
  private static final long POLL_MILLIS = 4;
  private static final long RECONNECT_MILLIS = 200;

  /** Status that the member returned to one poll. */
  record State(TermPosition applied, boolean primary) {}

  private final Fleet.MemberHandle member;
  private final NavigableMap<Long, State> states = new ConcurrentSkipListMap<>();
  private volatile boolean stopped;

  PositionTimeline(Fleet.MemberHandle member) {
    this.member = member;
  }

  Fleet.MemberHandle member() {
    return member;
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      try (Connection connection = Fleet.connect(member.sql(), member.database(), "");
          Statement statement = connection.createStatement()) {
        while (!stopped) {
          poll(statement);
          TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
      } catch (SQLException e) {
        // The member is down: it can serve no read until the next successful poll.
        states.put(System.nanoTime(), new State(TermPosition.ZERO, false));
        awaitReconnect();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void awaitReconnect() {
    try {
      TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void poll(Statement statement) throws SQLException {
    try (ResultSet row = statement.executeQuery("SELECT * FROM group_status()")) {
      row.next();
      State state =
          new State(
              TermPosition.parse(row.getString("applied")),
              row.getString("role").equals("PRIMARY"));
      states.put(System.nanoTime(), state);
    }
  }

  /** Returns the last state recorded at or before a time. */
  State at(long nanos) {
    Map.Entry<Long, State> entry = states.floorEntry(nanos);
    return entry == null ? new State(TermPosition.ZERO, false) : entry.getValue();
  }
}
