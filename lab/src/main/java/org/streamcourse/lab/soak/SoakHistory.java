package org.streamcourse.lab.soak;

import java.util.List;
import java.util.Map;
import org.streamcourse.lab.workload.Journal.Acknowledged;
import org.streamcourse.lab.workload.Journal.AgedRead;
import org.streamcourse.lab.workload.Journal.OwnRead;
import org.streamcourse.lab.workload.WriteOutcome;

/**
 * What callers, members and operators observed in a run: the input of all checks.
 *
 * @param writes outcome that the caller received, by booking
 * @param found number of rows of each booking at the end of the run
 * @param ownReads reads of bookings whose commit the reading session had acknowledged
 * @param agedReads reads whose staleness is known
 * @param acknowledged acknowledged writes with their log positions
 * @param limitViolations log lines of members about exceeded limits
 * @param configuration accepted and final version of the configuration
 * @param recoverySeconds time from the last fault's end until a write was served, by proxy and
 *     group
 * @param explained failed requests that were looked up in the logs
 */
record SoakHistory(
    Map<String, WriteOutcome> writes,
    Map<String, Integer> found,
    List<OwnRead> ownReads,
    List<AgedRead> agedReads,
    List<Acknowledged> acknowledged,
    List<LimitViolation> limitViolations,
    Configuration configuration,
    Map<String, Double> recoverySeconds,
    List<Explained> explained) {

  /**
   * A log line in which a member reports that a limit was exceeded.
   *
   * @param member name of the member's process
   * @param logLine the line
   */
  record LimitViolation(String member, String logLine) {}

  /**
   * Versions of the configuration.
   *
   * @param accepted highest version that a controller accepted from an operator
   * @param atEnd version in force after the run
   */
  record Configuration(long accepted, long atEnd) {}

  /**
   * A failed request that was looked up in the logs.
   *
   * @param request the request's id
   * @param steps number of decisions about the request found in the logs
   * @param isFinal whether the last of them names the request's outcome
   */
  record Explained(String request, int steps, boolean isFinal) {
    boolean isComplete() {
      return steps > 0 && isFinal;
    }
  }
}
