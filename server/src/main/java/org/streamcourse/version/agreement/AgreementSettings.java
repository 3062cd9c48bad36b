package org.streamcourse.version.agreement;

import org.streamcourse.process.MemoryLimits;

/**
 * Timing and limits of the replicated log.
 *
 * @param heartbeatMillis interval between a leader's heartbeat rounds
 * @param electionTimeoutMillis shortest time without messages from a leader after which a follower
 *     starts an election; the longest is twice this
 * @param firstElectionMillis the same, from a controller's start until it first sees a leader; the
 *     pre-vote keeps an early election from disrupting a working leader
 * @param entriesPerAppend maximum number of entries in one message
 * @param snapshotEvery number of applied entries between snapshots
 * @param maxVoters number of voters from which on a learner can only replace a lost voter
 * @param voterLostMillis time without responses after which a learner may replace a voter
 * @param memory limits of what is kept in memory
 */
public record AgreementSettings(
    long heartbeatMillis,
    long electionTimeoutMillis,
    long firstElectionMillis,
    int entriesPerAppend,
    int snapshotEvery,
    int maxVoters,
    long voterLostMillis,
    MemoryLimits memory) {
  /** Default values. */
  public static final AgreementSettings DEFAULT =
      new AgreementSettings(100, 600, 150, 64, 256, Integer.MAX_VALUE, 3_000, MemoryLimits.DEFAULT);

  /**
   * Limits the number of voters.
   *
   * @param voters maximum number of voters; further controllers stay learners until one is lost
   * @return changed settings
   */
  public AgreementSettings withMaxVoters(int voters) {
    return new AgreementSettings(
        heartbeatMillis,
        electionTimeoutMillis,
        firstElectionMillis,
        entriesPerAppend,
        snapshotEvery,
        voters,
        voterLostMillis,
        memory);
  }

  /**
   * Replaces the memory limits.
   *
   * @param limits limits of what is kept in memory
   * @return changed settings
   */
  public AgreementSettings withMemory(MemoryLimits limits) {
    return new AgreementSettings(
        heartbeatMillis,
        electionTimeoutMillis,
        firstElectionMillis,
        entriesPerAppend,
        snapshotEvery,
        maxVoters,
        voterLostMillis,
        limits);
  }
}
