package org.streamcourse.version.agreement;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.StreamcourseException;

/**
 * Commit index and applied index of the log; takes and installs snapshots.
 *
 * <p>Invariant: the state machine has applied exactly the commands up to the applied index, each
 * once and in order; a snapshot covers applied entries only.
 */
final class AppliedState {
  private static final Logger LOG = LoggerFactory.getLogger(AppliedState.class);

  private final RecordLog log;
  private final StateMachine stateMachine;
  private final long snapshotEvery;
  private final long snapshotEveryBytes;
  private long commitIndex;
  private long appliedIndex;

  /** Length of the entries that were applied since the newest snapshot. */
  private long appliedBytes;

  /**
   * Creates the state; nothing is applied yet.
   *
   * @param log durable log
   * @param stateMachine receives committed commands
   * @param settings limits for the entries between two snapshots
   */
  AppliedState(RecordLog log, StateMachine stateMachine, AgreementSettings settings) {
    this.log = log;
    this.stateMachine = stateMachine;
    this.snapshotEvery = settings.snapshotEvery();
    this.snapshotEveryBytes = settings.memory().logBytes();
  }

  long commitIndex() {
    return commitIndex;
  }

  /** Restores the state machine from the stored snapshot and the entries known to be committed. */
  void restore() {
    Snapshot snapshot = log.snapshot();
    if (snapshot != null) {
      resetTo(snapshot);
      commitTo(log.storedCommitIndex());
    }
  }

  /** Installs a leader's snapshot, unless all entries that it covers are committed here already. */
  void install(Snapshot snapshot) {
    if (snapshot.lastIndex() <= commitIndex) {
      return;
    }
    boolean sameHistory = log.termAt(snapshot.lastIndex()) == snapshot.lastTerm();
    log.saveSnapshot(snapshot, sameHistory);
    resetTo(snapshot);
  }

  private void resetTo(Snapshot snapshot) {
    stateMachine.restore(snapshot.state());
    commitIndex = snapshot.lastIndex();
    appliedIndex = snapshot.lastIndex();
    appliedBytes = 0;
  }

  /** Commits and applies all entries up to an index. */
  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
    log.recordCommitIndex(commitIndex);
    while (appliedIndex < commitIndex) {
      LogEntry entry = log.entry(appliedIndex + 1);
      if (entry.kind() == LogEntry.Kind.COMMAND) {
        stateMachine.apply(entry.index(), entry.payload());
      }
      // Not before the entry is applied: if applying it fails, it must not be skipped.
      appliedIndex = entry.index();
      appliedBytes += entry.payload().length;
    }
    if (isSnapshotDue()) {
      saveSnapshot();
    }
  }

  /** Without a snapshot the log only keeps more entries, so a failure is made up for later. */
  private void saveSnapshot() {
    long lastTerm = log.termAt(appliedIndex);
    VoterSet voters = log.votersAt(appliedIndex);
    Snapshot taken = new Snapshot(appliedIndex, lastTerm, voters, stateMachine.snapshot());
    try {
      log.saveSnapshot(taken, true);
      appliedBytes = 0;
    } catch (StreamcourseException e) {
      LOG.warn("the snapshot at entry {} could not be stored", appliedIndex, e);
    }
  }

  /** A snapshot larger than the limit is written once as many bytes of entries have followed. */
  private boolean isSnapshotDue() {
    return appliedIndex - log.snapshotIndex() >= snapshotEvery
        || appliedBytes >= Math.max(snapshotEveryBytes, log.snapshotBytes());
  }
}
