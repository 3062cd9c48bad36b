package org.streamcourse.version.agreement;

import java.util.List;
import java.util.Optional;

/**
 * Computes the next change of the voter set. A controller that lost its disk returns under a new
 * identity and is added as a learner. Once the learner has caught up and is responding, the voter
 * of the same name is removed and the learner then becomes a voter. At the maximum number of
 * voters, a learner of another name replaces a voter that has not responded for {@link
 * AgreementSettings#voterLostMillis}; while there is no such voter it stays a learner. Steps are
 * taken one at a time, and none while an earlier one is uncommitted.
 */
final class VoterChanges {
  private VoterChanges() {}

  static Optional<VoterSet> next(
      RecordLog log,
      VoterSet current,
      long commitIndex,
      LeaderState leader,
      long now,
      AgreementSettings settings) {
    if (hasUncommittedVoters(log, commitIndex) || !fitsOneRequest(log, commitIndex, settings)) {
      return Optional.empty();
    }
    for (String learner : current.learners()) {
      LeaderState.Progress progress = leader.progressOf(learner, log.lastIndex(), now);
      boolean responsive = now - progress.lastResponseMillis < settings.electionTimeoutMillis();
      if (responsive && progress.matchIndex > 0 && progress.matchIndex >= commitIndex) {
        Optional<String> replaced =
            otherWithSameName(current.voters(), learner)
                .or(() -> lostVoter(current, leader, log.lastIndex(), now, settings));
        if (replaced.isPresent()) {
          return replaced.map(current::without);
        }
        if (current.voters().size() < settings.maxVoters()) {
          return Optional.of(current.promoted(learner));
        }
      }
    }
    return leader.pollJoinRequest().map(joining -> admit(current, joining));
  }

  /** Returns whether a change can be sent together with all entries that are not committed. */
  private static boolean fitsOneRequest(
      RecordLog log, long commitIndex, AgreementSettings settings) {
    long limit = settings.memory().appendBytes() / 2;
    return log.lastIndex() - commitIndex < settings.entriesPerAppend()
        && log.bytesBetween(commitIndex, log.lastIndex() + 1, limit) < limit;
  }

  /** Finds an unresponsive voter that a learner may replace. */
  private static Optional<String> lostVoter(
      VoterSet current, LeaderState leader, long lastIndex, long now, AgreementSettings settings) {
    if (current.voters().size() < settings.maxVoters()) {
      return Optional.empty();
    }
    return current.voters().stream()
        .filter(voter -> leader.isTracked(voter))
        .filter(
            voter ->
                now - leader.progressOf(voter, lastIndex, now).lastResponseMillis
                    > settings.voterLostMillis())
        .findFirst();
  }

  private static VoterSet admit(VoterSet current, String joining) {
    Optional<String> former = otherWithSameName(current.learners(), joining);
    return former.map(current::without).orElse(current).withLearner(joining);
  }

  private static boolean hasUncommittedVoters(RecordLog log, long commitIndex) {
    for (long index = commitIndex + 1; index <= log.lastIndex(); index++) {
      if (log.entry(index).kind() == LogEntry.Kind.VOTERS) {
        return true;
      }
    }
    return false;
  }

  private static Optional<String> otherWithSameName(List<String> identities, String identity) {
    String name = VoterSet.nameOf(identity);
    return identities.stream()
        .filter(each -> VoterSet.nameOf(each).equals(name) && !each.equals(identity))
        .findFirst();
  }
}
