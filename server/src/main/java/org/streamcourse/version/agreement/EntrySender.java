package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.List;
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
  private final int appendBytes;
  private final int unacknowledgedBytes;

  EntrySender(RecordLog log, AgreementNetwork network, AgreementSettings settings) {
    this.log = log;
    this.network = network;
    this.entriesPerAppend = settings.entriesPerAppend();
    this.appendBytes = settings.memory().appendBytes();
    this.unacknowledgedBytes = settings.memory().unacknowledgedBytes();
  }

  /**
   * Sends the entries that a controller has not been sent yet; without new entries the request is a
   * heartbeat. Entries are resent only after the controller has responded that it lacks them. A
   * leader that resends until it gets an acknowledgement, with a round trip of 40 ms and a change
   * every 3 ms while a fleet starts, sent each entry 168 times in a test.
   *
   * <p>A request contains no entries while more bytes than the limit are unacknowledged, since a
   * controller that is slow or cut off would make them accumulate in this process. They are sent
   * when its acknowledgment arrives.
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
      sendSnapshot(to, progress, term, commitIndex, round);
      return;
    }
    List<LogEntry> entries =
        hasRoom(progress)
            ? log.entriesFrom(progress.nextIndex, entriesPerAppend, appendBytes)
            : new ArrayList<>();
    network.send(
        to, new AppendRequest(self, term, previous, previousTerm, entries, commitIndex, round));
    progress.nextIndex += entries.size();
  }

  private boolean hasRoom(LeaderState.Progress progress) {
    if (progress.snapshotInFlight) {
      return false;
    }
    long unacknowledged =
        log.bytesBetween(progress.assumedIndex, progress.nextIndex, unacknowledgedBytes);
    return unacknowledged < unacknowledgedBytes;
  }

  /** Sends the snapshot; until the receiver has responded, only heartbeats, which it rejects. */
  private void sendSnapshot(
      String to, LeaderState.Progress progress, long term, long commitIndex, long round) {
    String self = log.quorumState().identity();
    Snapshot snapshot = log.snapshot();
    if (progress.snapshotInFlight) {
      long index = snapshot.lastIndex();
      long indexTerm = snapshot.lastTerm();
      network.send(
          to,
          new AppendRequest(self, term, index, indexTerm, new ArrayList<>(), commitIndex, round));
      return;
    }
    network.send(to, new SnapshotRequest(self, term, snapshot, round));
    progress.sentSnapshot(snapshot.lastIndex());
  }
}
