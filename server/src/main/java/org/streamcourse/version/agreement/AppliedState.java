package org.streamcourse.version.agreement;

/**
 * How far the log is committed and applied, and the snapshots that follow from it.
 *
 * <p>Invariant: the state machine has exactly the commands up to the applied index, each once and
 * in order; a snapshot is taken only of applied entries.
 */
final class AppliedState {
  private final RecordLog log;
  private final StateMachine machine;
  private final long snapshotEvery;
  private long commitIndex;
  private long appliedIndex;

  /**
   * Creates the state; nothing is applied yet.
   *
   * @param log durable log
   * @param machine receives committed commands
   * @param snapshotEvery number of applied entries between snapshots
   */
  AppliedState(RecordLog log, StateMachine machine, long snapshotEvery) {
    this.log = log;
    this.machine = machine;
    this.snapshotEvery = snapshotEvery;
  }

  long commitIndex() {
    return commitIndex;
  }

  /** Brings the state machine to what is stored and known to be committed. */
  void restore() {
    Snapshot snapshot = log.snapshot();
    if (snapshot != null) {
      restart(snapshot);
      commitTo(log.storedCommit());
    }
  }

  /** Takes a leader's snapshot, unless all of it is committed here already. */
  void install(Snapshot snapshot) {
    if (snapshot.lastIndex() <= commitIndex) {
      return;
    }
    boolean sameHistory = log.termAt(snapshot.lastIndex()) == snapshot.lastTerm();
    log.saveSnapshot(snapshot, sameHistory);
    restart(snapshot);
  }

  private void restart(Snapshot snapshot) {
    machine.restore(snapshot.state());
    commitIndex = snapshot.lastIndex();
    appliedIndex = snapshot.lastIndex();
  }

  /** Commits and applies all entries up to an index. */
  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
    log.noteCommitted(commitIndex);
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      LogEntry entry = log.entry(appliedIndex);
      if (entry.kind() == LogEntry.Kind.COMMAND) {
        machine.apply(appliedIndex, entry.payload());
      }
    }
    if (appliedIndex - log.snapshotIndex() >= snapshotEvery) {
      long lastTerm = log.termAt(appliedIndex);
      VoterSet voters = log.votersAt(appliedIndex);
      log.saveSnapshot(new Snapshot(appliedIndex, lastTerm, voters, machine.snapshot()), true);
    }
  }
}
