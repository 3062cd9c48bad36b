package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * State of a leader: replication progress of the other controllers, and tasks that wait for a
 * confirmed round.
 */
final class LeaderState implements RoleState {
  /** Replication progress of one controller. */
  static final class Progress {
    /**
     * Index of the next entry to send. Entries before it have been sent and are assumed to arrive
     * until a response reports them missing.
     */
    long nextIndex;

    /** Index of the last entry that the controller is known to have synced. */
    long matchIndex;

    /**
     * Index up to which the controller is assumed to have the entries; those from there to {@link
     * #nextIndex} are in flight.
     */
    long assumedIndex;

    /** Whether a snapshot was sent to which the controller has not responded. */
    boolean snapshotInFlight;

    long acknowledgedRound;
    long lastResponseMillis;

    /** First entry of the last resend that followed a rejected append request. */
    private long resentFrom = Long.MAX_VALUE;

    /** Round in which that resend took place. */
    private long resentRound;

    Progress(long nextIndex, long now) {
      this.nextIndex = nextIndex;
      this.assumedIndex = nextIndex - 1;
      this.lastResponseMillis = now;
    }

    /** Makes the next append request start with the first entry that is not acknowledged. */
    void rewindToAcknowledged() {
      if (matchIndex > 0) {
        nextIndex = matchIndex + 1;
        assumedIndex = matchIndex;
      }
    }

    /** Records that a snapshot was sent. */
    void sentSnapshot(long lastIndex) {
      snapshotInFlight = true;
      nextIndex = lastIndex + 1;
      assumedIndex = lastIndex;
    }

    /** Records that the controller has synced all entries up to an index. */
    void acknowledged(long index) {
      snapshotInFlight = false;
      matchIndex = Math.max(matchIndex, index);
      nextIndex = Math.max(nextIndex, matchIndex + 1);
      assumedIndex = Math.max(assumedIndex, matchIndex);
    }

    /**
     * Records that the controller rejected an append request because it lacks the entry before the
     * request's first. All append requests in flight at that time are rejected too, so only the
     * first rejection counts until a request of a later round is rejected.
     *
     * @param index last entry that the controller may have
     * @param rejectedRound round of the rejected request
     * @param round current round
     * @return whether to resend entries
     */
    boolean rejected(long index, long rejectedRound, long round) {
      long from = Math.max(matchIndex + 1, Math.min(nextIndex - 1, index + 1));
      if (rejectedRound <= resentRound && from >= resentFrom) {
        return false;
      }
      snapshotInFlight = false;
      nextIndex = from;
      assumedIndex = from - 1;
      resentFrom = from;
      resentRound = round;
      return true;
    }
  }

  private record PendingTask(long round, Runnable task) {}

  private final long termStartIndex;
  private final Map<String, Progress> progress = new TreeMap<>();
  private final List<PendingTask> pendingTasks = new ArrayList<>();
  private final TreeSet<String> joinRequests = new TreeSet<>();
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

  /** Marks the leadership as reported to the state machine; returns true on the first call. */
  boolean announce() {
    boolean first = !announced;
    announced = true;
    return first;
  }

  boolean isAnnounced() {
    return announced;
  }

  /**
   * Starts tracking other controllers, none of which has been sent an entry of this leader's term.
   * The leader itself is not tracked: it sends no responses to itself, and a tracked voter without
   * responses counts as lost.
   */
  void track(List<String> identities, String self, long now) {
    for (String identity : identities) {
      if (!identity.equals(self)) {
        progress.put(identity, new Progress(termStartIndex, now));
      }
    }
  }

  Progress progressOf(String identity, long lastIndex, long now) {
    return progress.computeIfAbsent(identity, any -> new Progress(lastIndex + 1, now));
  }

  /** Returns whether entries are sent to an identity; false for the leader itself. */
  boolean isTracked(String identity) {
    return progress.containsKey(identity);
  }

  /** Makes the next append request to each controller start with its first unacknowledged entry. */
  void rewindToAcknowledged() {
    progress.values().forEach(Progress::rewindToAcknowledged);
  }

  void addJoinRequest(String identity) {
    joinRequests.add(identity);
  }

  Optional<String> pollJoinRequest() {
    return Optional.ofNullable(joinRequests.pollFirst());
  }

  void addAfterNextRound(Runnable task) {
    pendingTasks.add(new PendingTask(round + 1, task));
  }

  /** Removes and returns the tasks whose round a majority of the voters has acknowledged. */
  List<Runnable> takeConfirmedTasks(VoterSet voters, String self) {
    long confirmed = majorityValue(voters, self, round, each -> each.acknowledgedRound);
    List<Runnable> due =
        pendingTasks.stream()
            .filter(each -> each.round() <= confirmed)
            .map(PendingTask::task)
            .toList();
    pendingTasks.removeIf(each -> each.round() <= confirmed);
    return due;
  }

  long majorityMatchIndex(VoterSet voters, String self, long selfIndex) {
    return majorityValue(voters, self, selfIndex, each -> each.matchIndex);
  }

  long majorityResponseMillis(VoterSet voters, String self, long now) {
    return majorityValue(voters, self, now, each -> each.lastResponseMillis);
  }

  /** Returns the largest value that a majority of the voters has reached. */
  private long majorityValue(
      VoterSet voters, String self, long selfValue, ToLongFunction<Progress> value) {
    List<Long> values = new ArrayList<>();
    for (String voter : voters.voters()) {
      Progress tracked = progress.get(voter);
      long reached = tracked == null ? 0 : value.applyAsLong(tracked);
      values.add(voter.equals(self) ? selfValue : reached);
    }
    values.sort(Comparator.reverseOrder());
    return values.isEmpty() ? 0 : values.get(voters.majority() - 1);
  }
}
