package org.streamcourse.lab.bench;

import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.workload.FailoverGap;
import org.streamcourse.lab.workload.Journal;

/** Alternates between killing a primary and a planned change of primary while callers run. */
final class PrimaryChanges {
  private static final long INTERVAL_MILLIS = 3_500;
  private static final long RESTART_MILLIS = 2_000;
  private static final long GAP_WINDOW_MILLIS = 3_000;

  /** One change of primary and its start time. */
  private record Change(String database, boolean planned, long atNanos) {}

  private final Fleet fleet;
  private final List<Change> changes = new ArrayList<>();

  PrimaryChanges(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Changes primaries for the given time. */
  void run(long seconds) throws Exception {
    List<String> databases = fleet.profile().databases();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    int round = 0;
    TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
    while (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS * 2) < end) {
      kill(databases.get(round % databases.size()));
      switchPrimary(databases.get((round + 1) % databases.size()));
      round++;
    }
    TimeUnit.NANOSECONDS.sleep(Math.max(0, end - System.nanoTime()));
  }

  private void kill(String database) throws Exception {
    Fleet.MemberHandle primary = fleet.primary(database);
    changes.add(new Change(database, false, System.nanoTime()));
    primary.process().kill();
    TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
    primary.process().start();
    TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS - RESTART_MILLIS);
  }

  private void switchPrimary(String database) throws Exception {
    String former = fleet.primary(database).member();
    String target =
        fleet.members().stream()
            .filter(each -> each.database().equals(database) && !each.member().equals(former))
            .map(Fleet.MemberHandle::member)
            .findFirst()
            .orElseThrow();
    long start = System.nanoTime();
    try {
      fleet.admin("SWITCH PRIMARY OF GROUP " + database + " TO " + target);
      changes.add(new Change(database, true, start));
    } catch (SQLException e) {
      // Refused because a change of primary of this group is in progress: nothing to measure.
    }
    TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
  }

  /** Write gaps that callers observed at planned or unplanned changes, in milliseconds. */
  List<Long> gapsMillis(Journal journal, boolean planned) {
    List<Long> gaps = new ArrayList<>();
    for (Change change : changes) {
      if (change.planned() == planned) {
        double seconds =
            planned
                ? longestPause(journal, change)
                : FailoverGap.seconds(journal.acknowledged(), change.database(), change.atNanos());
        gaps.add(Math.round(seconds * 1_000));
      }
    }
    return gaps;
  }

  /** Longest time between two acknowledged writes within the window after a change began. */
  private static double longestPause(Journal journal, Change change) {
    long end = change.atNanos() + TimeUnit.MILLISECONDS.toNanos(GAP_WINDOW_MILLIS);
    List<Long> times =
        journal.acknowledged().stream()
            .filter(each -> each.database().equals(change.database()))
            .map(Journal.Acknowledged::atNanos)
            .filter(at -> at >= change.atNanos() && at <= end)
            .sorted()
            .toList();
    long longest = 0;
    long previous = change.atNanos();
    for (long at : times) {
      longest = Math.max(longest, at - previous);
      previous = at;
    }
    return longest / 1e9;
  }
}
