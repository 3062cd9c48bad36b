package org.streamcourse.version.agreement;

import java.util.ArrayList;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementMessage.SnapshotRequest;

/**
 * Sends a leader's log entries to another controller, or the leader's snapshot when the entries
 * that come next are no longer in its log.
 */
final class EntrySender {
  private final RecordLog log;
  private final AgreementNetwork network;
  private final int entriesPerAppend;

  EntrySender(RecordLog log, AgreementNetwork network, int entriesPerAppend) {
    this.log = log;
    this.network = network;
    this.entriesPerAppend = entriesPerAppend;
  }

  /**
   * Sends the entries that a controller has not been sent yet; without new entries the request is a
   * heartbeat. Entries are resent only after the controller has responded that it lacks them. A
   * leader that resends until it gets an acknowledgement, with a round trip of 40 ms and a change
   * every 3 ms while a fleet starts, sent each entry 168 times in a test.
   *
   * @param to receiver's identity
   * @param progress receiver's replication progress, advanced by this call
   * @param term leader's term
   * @param commitIndex leader's commit index
   * @param round round number that the response repeats
   */
  void send(String to, LeaderState.Progress progress, long term, long commitIndex, long round) {
    String self = log.quorumState().identity();
    long previous = progress.nextIndex - 1;
    long previousTerm = log.termAt(previous);
    if (previous < log.snapshotIndex() || previousTerm < 0) {
      network.send(to, new SnapshotRequest(self, term, log.snapshot(), round));
      progress.nextIndex = log.snapshotIndex() + 1;
      return;
    }
    ArrayList<LogEntry> entries =
        new ArrayList<>(log.entriesFrom(progress.nextIndex, entriesPerAppend));
    network.send(
        to, new AppendRequest(self, term, previous, previousTerm, entries, commitIndex, round));
    progress.nextIndex += entries.size();
  }
}
