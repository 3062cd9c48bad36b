package org.streamcourse.version.agreement;

import java.util.ArrayList;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementMessage.SnapshotRequest;

/** Sends a leader's entries to another controller, or its snapshot when the entries are gone. */
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
   * Sends what a controller was not sent yet; without new entries this is a heartbeat. Entries are
   * not sent again until the controller answers that it lacks them: with 40 ms between question and
   * answer, and a change each 3 ms while a fleet starts, each was sent 168 times in a test.
   *
   * @param to receiver's identity
   * @param progress what it was sent; moved on
   * @param term leader's term
   * @param commitIndex leader's commit index
   * @param round number that the answer repeats
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
