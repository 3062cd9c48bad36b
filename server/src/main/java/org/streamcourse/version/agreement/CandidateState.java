package org.streamcourse.version.agreement;

import java.util.Set;
import java.util.TreeSet;

/** State of a candidate: the votes granted in a pre-vote or in an election. */
final class CandidateState implements RoleState {
  private final boolean preVote;
  private final long requestedTerm;
  private final Set<String> votes = new TreeSet<>();

  CandidateState(boolean preVote, long requestedTerm) {
    this.preVote = preVote;
    this.requestedTerm = requestedTerm;
  }

  boolean isPreVote() {
    return preVote;
  }

  long requestedTerm() {
    return requestedTerm;
  }

  /** Records a granted vote; returns true once a majority of the voters has granted theirs. */
  boolean addVote(String identity, VoterSet voters) {
    if (voters.voters().contains(identity)) {
      votes.add(identity);
    }
    return votes.size() >= voters.majority();
  }
}
