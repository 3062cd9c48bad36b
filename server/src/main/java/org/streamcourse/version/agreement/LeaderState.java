package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/** Progress of the other controllers and reads that wait for a confirmed round. */
final class LeaderState implements RoleState {
  /** Progress of one controller. */
  static final class Progress {
    /**
     * First entry that was not sent yet; what was sent is taken to arrive until an answer denies.
     */
    long nextIndex;

    /** Last entry that is known to be synced there. */
    long matchIndex;

    long ackedRound;
    long lastHeardMillis;

    /**
     * Where sending began anew, and the round of that, after an answer that entries are missing.
     */
    private long resentFrom = Long.MAX_VALUE;

    private long resentRound;

    Progress(long nextIndex, long now) {
      this.nextIndex = nextIndex;
      this.lastHeardMillis = now;
    }

    /** What comes next goes out with all that the controller has not acknowledged. */
    void sendUnacknowledgedAgain() {
      if (matchIndex > 0) {
        nextIndex = matchIndex + 1;
      }
    }

    /** The controller has synced all entries up to one. */
    void matched(long index) {
      matchIndex = Math.max(matchIndex, index);
      nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    /**
     * The controller lacks what an append request follows. All requests that were on their way say
     * the same, so only the first such answer counts until a later round is denied too.
     *
     * @param index last entry that the controller may have
     * @param deniedRound round of the request
     * @param round present round
     * @return whether to send again
     */
    boolean denied(long index, long deniedRound, long round) {
      long from = Math.max(matchIndex + 1, Math.min(nextIndex - 1, index + 1));
      if (deniedRound <= resentRound && from >= resentFrom) {
        return false;
      }
      nextIndex = from;
      resentFrom = from;
      resentRound = round;
      return true;
    }
  }

  private record Waiting(long round, Runnable task) {}

  private final long termStartIndex;
  private final Map<String, Progress> progress = new TreeMap<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private final TreeSet<String> joining = new TreeSet<>();
  private long round;
  private boolean announced;

  LeaderState(long termStartIndex) {
    this.termStartIndex = termStartIndex;
  }

  long termStartIndex() {
    return termStartIndex;
  }

  long round() {
    return round;
  }

  long startRound() {
    round++;
    return round;
  }

  boolean announce() {
    boolean first = !announced;
    announced = true;
    return first;
  }

  boolean isAnnounced() {
    return announced;
  }

  /**
   * Begins to follow others, to whom nothing of this leader's term was sent yet. The leader itself
   * is not followed: it never answers itself, and a voter that is followed and silent counts as
   * lost.
   */
  void follow(List<String> identities, String self, long now) {
    for (String identity : identities) {
      if (!identity.equals(self)) {
        progress.put(identity, new Progress(termStartIndex, now));
      }
    }
  }

  Progress progressOf(String identity, long lastIndex, long now) {
    return progress.computeIfAbsent(identity, any -> new Progress(lastIndex + 1, now));
  }

  /** Whether entries are sent to this identity; false for the leader itself. */
  boolean isFollowed(String identity) {
    return progress.containsKey(identity);
  }

  /** What comes next goes to every controller with all that it has not acknowledged. */
  void sendUnacknowledgedAgain() {
    progress.values().forEach(Progress::sendUnacknowledgedAgain);
  }

  void requestJoin(String identity) {
    joining.add(identity);
  }

  Optional<String> takeJoining() {
    return Optional.ofNullable(joining.pollFirst());
  }

  void waitForNextRound(Runnable task) {
    waiting.add(new Waiting(round + 1, task));
  }

  /** Removes and returns the tasks whose round a majority has acknowledged. */
  List<Runnable> confirmedTasks(VoterSet voters, String self) {
    long confirmed = majorityValue(voters, self, round, each -> each.ackedRound);
    List<Runnable> due =
        waiting.stream().filter(each -> each.round() <= confirmed).map(Waiting::task).toList();
    waiting.removeIf(each -> each.round() <= confirmed);
    return due;
  }

  long majorityMatch(VoterSet voters, String self, long selfIndex) {
    return majorityValue(voters, self, selfIndex, each -> each.matchIndex);
  }

  long majorityHeardMillis(VoterSet voters, String self, long now) {
    return majorityValue(voters, self, now, each -> each.lastHeardMillis);
  }

  /** Largest value that a majority of the voters has reached. */
  private long majorityValue(
      VoterSet voters, String self, long selfValue, ToLongFunction<Progress> value) {
    List<Long> values = new ArrayList<>();
    for (String voter : voters.voters()) {
      Progress known = progress.get(voter);
      long reached = known == null ? 0 : value.applyAsLong(known);
      values.add(voter.equals(self) ? selfValue : reached);
    }
    values.sort(Comparator.reverseOrder());
    return values.isEmpty() ? 0 : values.get(voters.majority() - 1);
  }
}
