package org.streamcourse.version.agreement;

/**
 * Election state that a controller must keep across restarts.
 *
 * @param identity this controller's identity
 * @param term highest term seen
 * @param votedFor identity that got this controller's vote in that term; empty for none
 */
public record QuorumState(String identity, long term, String votedFor) {
  /**
   * Returns whether this controller may vote for a candidate.
   *
   * @param inTerm term of the election
   * @param candidate candidate's identity
   * @return true in the current term unless another candidate has got the vote
   */
  boolean mayVote(long inTerm, String candidate) {
    return inTerm == term && (votedFor.isEmpty() || votedFor.equals(candidate));
  }
}
