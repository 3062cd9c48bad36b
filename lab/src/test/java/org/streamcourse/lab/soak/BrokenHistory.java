package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamcourse.lab.soak.SoakHistory.Configuration;
import org.streamcourse.lab.soak.SoakHistory.Explained;
import org.streamcourse.lab.soak.SoakHistory.LimitViolation;
import org.streamcourse.lab.workload.Journal.Acknowledged;
import org.streamcourse.lab.workload.Journal.AgedRead;
import org.streamcourse.lab.workload.Journal.OwnRead;
import org.streamcourse.lab.workload.WriteOutcome;
import org.streamcourse.version.image.TermPosition;

/** Copies a history and adds one violation of one check. */
final class BrokenHistory {
  private static final String BOOKING = "group1-1-1";

  private BrokenHistory() {}

  /** Returns a copy that violates exactly one check. */
  static SoakHistory withViolation(SoakHistory history, SoakCheck violated) {
    return switch (violated) {
      case READ_YOUR_WRITES -> with(history, new OwnRead(BOOKING, 0));
      case STALENESS -> with(history, new AgedRead("group1", 1_501, 1_500));
      case ACKNOWLEDGED_IS_KEPT -> lost(history);
      case AT_MOST_ONCE -> twice(history);
      case NOT_RUN_IS_TRUE -> ranAfterAll(history);
      case REPLACED_PRIMARY -> acknowledgedByReplaced(history);
      case MEMBER_LIMITS -> overLimit(history);
      case CONFIGURATION_IS_KEPT -> reverted(history);
      case RECOVERY -> neverServes(history);
      case EXPLAINED -> unexplained(history);
    };
  }

  private static <T> List<T> and(List<T> list, T last) {
    List<T> longer = new ArrayList<>(list);
    longer.add(last);
    return longer;
  }

  private static <V> Map<String, V> and(Map<String, V> map, String key, V value) {
    Map<String, V> larger = new HashMap<>(map);
    larger.put(key, value);
    return larger;
  }

  private static SoakHistory with(SoakHistory of, OwnRead read) {
    return copy(of, of.writes(), of.found(), and(of.ownReads(), read), of.agedReads());
  }

  private static SoakHistory with(SoakHistory of, AgedRead read) {
    return copy(of, of.writes(), of.found(), of.ownReads(), and(of.agedReads(), read));
  }

  private static SoakHistory lost(SoakHistory of) {
    Map<String, Integer> found = new HashMap<>(of.found());
    found.remove(acknowledgedBooking(of));
    return copy(of, of.writes(), found, of.ownReads(), of.agedReads());
  }

  private static String acknowledgedBooking(SoakHistory of) {
    return of.writes().entrySet().stream()
        .filter(each -> each.getValue() == WriteOutcome.ACKNOWLEDGED)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private static SoakHistory twice(SoakHistory of) {
    Map<String, Integer> found = and(of.found(), acknowledgedBooking(of), 2);
    return copy(of, of.writes(), found, of.ownReads(), of.agedReads());
  }

  private static SoakHistory ranAfterAll(SoakHistory of) {
    String refused = "refused-1";
    Map<String, WriteOutcome> writes = and(of.writes(), refused, WriteOutcome.NOT_RUN);
    return copy(of, writes, and(of.found(), refused, 1), of.ownReads(), of.agedReads());
  }

  private static SoakHistory copy(
      SoakHistory of,
      Map<String, WriteOutcome> writes,
      Map<String, Integer> found,
      List<OwnRead> ownReads,
      List<AgedRead> agedReads) {
    return new SoakHistory(
        writes,
        found,
        ownReads,
        agedReads,
        of.acknowledged(),
        of.limitViolations(),
        of.configuration(),
        of.recoverySeconds(),
        of.explained());
  }

  /**
   * Adds a write that was sent after the last acknowledgment and acknowledged in an earlier term.
   */
  private static SoakHistory acknowledgedByReplaced(SoakHistory of) {
    Acknowledged last = of.acknowledged().get(of.acknowledged().size() - 1);
    long end = of.acknowledged().stream().mapToLong(Acknowledged::atNanos).max().orElseThrow();
    TermPosition earlier = new TermPosition(0, last.position().position() + 1);
    Acknowledged late = new Acknowledged(last.database(), end + 1, end + 2, earlier);
    return copy(
        of,
        and(of.acknowledged(), late),
        of.limitViolations(),
        of.configuration(),
        of.recoverySeconds(),
        of.explained());
  }

  private static SoakHistory overLimit(SoakHistory of) {
    LimitViolation violation = new LimitViolation("group1-m1", "connection limit 40 exceeded");
    return copy(
        of,
        of.acknowledged(),
        and(of.limitViolations(), violation),
        of.configuration(),
        of.recoverySeconds(),
        of.explained());
  }

  private static SoakHistory reverted(SoakHistory of) {
    long accepted = of.configuration().atEnd() + 1;
    return copy(
        of,
        of.acknowledged(),
        of.limitViolations(),
        new Configuration(accepted, accepted - 1),
        of.recoverySeconds(),
        of.explained());
  }

  private static SoakHistory neverServes(SoakHistory of) {
    return copy(
        of,
        of.acknowledged(),
        of.limitViolations(),
        of.configuration(),
        and(of.recoverySeconds(), "p1/group1", Double.POSITIVE_INFINITY),
        of.explained());
  }

  private static SoakHistory unexplained(SoakHistory of) {
    return copy(
        of,
        of.acknowledged(),
        of.limitViolations(),
        of.configuration(),
        of.recoverySeconds(),
        and(of.explained(), new Explained("p1-1-1-1", 2, false)));
  }

  private static SoakHistory copy(
      SoakHistory of,
      List<Acknowledged> acknowledged,
      List<LimitViolation> limitViolations,
      Configuration configuration,
      Map<String, Double> recoverySeconds,
      List<Explained> explained) {
    return new SoakHistory(
        of.writes(),
        of.found(),
        of.ownReads(),
        of.agedReads(),
        acknowledged,
        limitViolations,
        configuration,
        recoverySeconds,
        explained);
  }
}
