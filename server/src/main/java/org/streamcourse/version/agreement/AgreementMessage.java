package org.streamcourse.version.agreement;

import java.util.List;

/** Messages between controllers; each contains the sender's identity and term. */
public sealed interface AgreementMessage {
  /**
   * Returns the sender.
   *
   * @return identity
   */
  String from();

  /**
   * Returns the sender's term.
   *
   * @return term
   */
  long term();

  /**
   * Returns whether the message's term is only a proposed one that no controller has entered.
   *
   * @return true for a granted pre-vote
   */
  default boolean isProvisional() {
    return this instanceof VoteResponse response && response.preVote() && response.granted();
  }

  /**
   * Requests a vote.
   *
   * @param from candidate
   * @param term term for which the candidate wants to be elected
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   * @param preVote true when the request only checks whether the candidate could win
   */
  record VoteRequest(String from, long term, long lastIndex, long lastTerm, boolean preVote)
      implements AgreementMessage {}

  /**
   * Response to a {@link VoteRequest}.
   *
   * @param from voter
   * @param term voter's term
   * @param requestTerm term of the request
   * @param granted whether the vote was granted
   * @param preVote copied from the request
   */
  record VoteResponse(String from, long term, long requestTerm, boolean granted, boolean preVote)
      implements AgreementMessage {}

  /**
   * Sends log entries and the commit index; serves as the leader's heartbeat.
   *
   * @param from leader
   * @param term leader's term
   * @param previousIndex index of the entry before the first one sent
   * @param previousTerm term of the entry at previousIndex
   * @param entries entries to append, possibly none
   * @param commitIndex leader's commit index
   * @param round number of the leader's heartbeat round
   */
  record AppendRequest(
      String from,
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long round)
      implements AgreementMessage {}

  /**
   * Response to an {@link AppendRequest} or {@link SnapshotRequest}.
   *
   * @param from follower
   * @param term follower's term
   * @param success whether the follower's log matched
   * @param matchIndex last index known to match; on failure the last index that may match
   * @param round copied from the request, or {@link #NO_ROUND}
   */
  record AppendResponse(String from, long term, boolean success, long matchIndex, long round)
      implements AgreementMessage {
    /**
     * Round in the response to a request of an earlier term. Each leadership counts its rounds from
     * the start, so the request's round would confirm a later leadership of the same controller.
     */
    public static final long NO_ROUND = 0;
  }

  /**
   * Sends a snapshot that replaces a follower's log.
   *
   * @param from leader
   * @param term leader's term
   * @param snapshot state up to an index
   * @param round number of the leader's heartbeat round
   */
  record SnapshotRequest(String from, long term, Snapshot snapshot, long round)
      implements AgreementMessage {}

  /**
   * Requests that a controller with a new identity is added as a learner.
   *
   * @param from new identity
   * @param term always 0, since the sender is neither voter nor learner yet
   */
  record JoinRequest(String from, long term) implements AgreementMessage {}
}
