package org.streamcourse.lab.soak;

import java.util.List;
import java.util.Map;
import org.streamcourse.lab.workload.Journal.Acknowledged;
import org.streamcourse.lab.workload.Journal.AgedRead;
import org.streamcourse.lab.workload.Journal.OwnRead;
import org.streamcourse.lab.workload.WriteOutcome;

/**
 * What callers, members and operators saw of a run; all that the checks rest on.
 *
 * @param writes what callers were told, by booking
 * @param found how often each booking was there in the end
 * @param ownReads reads of bookings that the reading session had been told are committed
 * @param agedReads reads whose age is known
 * @param acknowledged acknowledged writes with their places
 * @param excesses what members had to refuse since more than their limits came
 * @param configuration what operators were told of the configuration
 * @param recoverySeconds time from the last fault's end until a route served, by route
 * @param explained what the logs told of failed requests
 */
record SoakHistory(
    Map<String, WriteOutcome> writes,
    Map<String, Integer> found,
    List<OwnRead> ownReads,
    List<AgedRead> agedReads,
    List<Acknowledged> acknowledged,
    List<MemberExcess> excesses,
    Configuration configuration,
    Map<String, Double> recoverySeconds,
    List<Explained> explained) {

  /**
   * A line in which a member tells that more than its limit came.
   *
   * @param member the member's process
   * @param what the line
   */
  record MemberExcess(String member, String what) {}

  /**
   * Versions of the configuration.
   *
   * @param accepted newest one that an operator was told is accepted
   * @param atEnd the one in force after the run
   */
  record Configuration(long accepted, long atEnd) {}

  /**
   * A failed request that was looked up in the logs.
   *
   * @param request its id
   * @param steps decisions found
   * @param isFinal whether the last of them tells how it ended
   */
  record Explained(String request, int steps, boolean isFinal) {
    boolean isWhole() {
      return steps > 0 && isFinal;
    }
  }
}
