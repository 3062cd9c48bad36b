package org.streamcourse.version.agreement;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.Disk;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.Frames;
import org.streamcourse.process.MemoryLimits;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.agreement.AgreementMessage.VoteRequest;

/**
 * Persistent state of a controller: quorum state, snapshot and log segments.
 *
 * <p>A segment is a sequence of frames {@code length, CRC32C, entries}. Each append writes one
 * frame and syncs it before it returns, so a crash can tear only the last frame of the last
 * segment; a torn frame is truncated on opening. Damage anywhere else means that acknowledged
 * entries are lost, and opening fails with {@link ErrorCode#CORRUPT_LOG}.
 *
 * <p>Each frame starts with the commit index that was known when it was written. A restarted
 * controller can therefore apply most committed entries before it has received any message, and
 * storing the commit index takes no separate write.
 */
public final class RecordLog {
  private static final String QUORUM_FILE = "quorum-state";
  private static final String SNAPSHOT_FILE = "snapshot";

  private final Disk disk;
  private final MessageCodec codec;
  private final LogEntries entries = new LogEntries();
  private final LogSegments segments;
  private QuorumState quorumState;
  private Snapshot snapshot;

  /**
   * Cached newest voter set, or null if it must be looked up. It is read several times for each
   * message between controllers, and its entry may be {@link AgreementSettings#snapshotEvery}
   * entries before the last.
   */
  private VoterSet newestVoters;

  private boolean replacedBySnapshot;
  private long knownCommitIndex;
  private long storedCommitIndex;

  private RecordLog(Disk disk, MessageCodec codec, int segmentBytes) {
    this.disk = disk;
    this.codec = codec;
    this.segments = new LogSegments(disk, segmentBytes, this::contentFrom);
  }

  /**
   * Opens the log in a data folder.
   *
   * @param disk data folder
   * @param codec codec with the types of this package
   * @return log, possibly empty; see {@link #quorumState()}
   */
  public static RecordLog open(Disk disk, MessageCodec codec) {
    return open(disk, codec, MemoryLimits.DEFAULT);
  }

  /**
   * Opens the log in a data folder.
   *
   * @param disk data folder
   * @param codec codec with the types of this package
   * @param limits limits of what is kept in memory; a segment is read as a whole when it is opened
   * @return log, possibly empty; see {@link #quorumState()}
   */
  public static RecordLog open(Disk disk, MessageCodec codec, MemoryLimits limits) {
    RecordLog log = new RecordLog(disk, codec, limits.logBytes());
    log.load();
    return log;
  }

  /**
   * Returns the stored quorum state.
   *
   * @return state, or null in an empty data folder
   */
  public QuorumState quorumState() {
    return quorumState;
  }

  /**
   * Stores a quorum state durably.
   *
   * @param state new state
   */
  public void saveQuorumState(QuorumState state) {
    disk.replace(QUORUM_FILE, Frames.write(codec.encode(state)));
    quorumState = state;
  }

  /**
   * Returns the newest snapshot.
   *
   * @return snapshot or null
   */
  public Snapshot snapshot() {
    return snapshot;
  }

  /**
   * Returns the index of the last entry or of the snapshot.
   *
   * @return 0 for an empty log
   */
  public long lastIndex() {
    return entries.isEmpty() ? snapshotIndex() : entries.lastIndex();
  }

  /**
   * Returns the term of the last entry or of the snapshot.
   *
   * @return 0 for an empty log
   */
  public long lastTerm() {
    return termAt(lastIndex());
  }

  /**
   * Returns the index of the last entry that the snapshot covers.
   *
   * @return 0 when there is no snapshot
   */
  public long snapshotIndex() {
    return snapshot == null ? 0 : snapshot.lastIndex();
  }

  /**
   * Returns the term of an entry.
   *
   * @param index index of the entry
   * @return its term; 0 for index 0; -1 when the log has no such entry
   */
  public long termAt(long index) {
    if (index == 0) {
      return 0;
    }
    if (index == snapshotIndex()) {
      return snapshot.lastTerm();
    }
    LogEntry entry = entries.get(index);
    return entry == null ? -1 : entry.term();
  }

  /**
   * Returns whether a vote may be granted: the candidate's log is at least as up to date as this
   * one, and no other candidate has the vote of this term.
   *
   * @param request candidate's request
   * @return true if granting the vote is safe
   */
  boolean mayGrant(VoteRequest request) {
    boolean upToDate =
        request.lastTerm() > lastTerm()
            || (request.lastTerm() == lastTerm() && request.lastIndex() >= lastIndex());
    boolean free =
        request.preVote()
            ? request.term() > quorumState.term()
            : quorumState.mayVote(request.term(), request.from());
    return upToDate && free;
  }

  /**
   * Returns an entry.
   *
   * @param index index of the entry
   * @return entry, or null when the log has no such entry
   */
  public LogEntry entry(long index) {
    return entries.get(index);
  }

  /**
   * Returns entries from an index on.
   *
   * @param fromIndex first index
   * @param limit maximum number of entries to return
   * @param limitBytes maximum length of their payloads together; a longer first entry is returned
   *     alone
   * @return entries in order
   */
  public List<LogEntry> entriesFrom(long fromIndex, int limit, int limitBytes) {
    return entries.from(fromIndex, limit, limitBytes);
  }

  /**
   * Adds up the lengths of the payloads of some entries.
   *
   * @param after index before the first of them
   * @param before index after the last of them
   * @param enough sum from which on no more lengths are added
   * @return bytes
   */
  long bytesBetween(long after, long before, long enough) {
    return entries.bytesBetween(after, before, enough);
  }

  /**
   * Returns the length of the payloads of all entries since the snapshot.
   *
   * @return bytes
   */
  public long entryBytes() {
    return entries.bytes();
  }

  /**
   * Returns the length of the state in the newest snapshot.
   *
   * @return bytes; 0 when there is no snapshot
   */
  public long snapshotBytes() {
    return snapshot == null ? 0 : snapshot.state().length;
  }

  /**
   * Appends entries durably; the first must follow the last entry.
   *
   * @param added entries in order
   */
  public void append(List<LogEntry> added) {
    if (added.isEmpty()) {
      return;
    }
    segments.append(added.get(0).index(), encodeFrame(added));
    for (LogEntry entry : added) {
      entries.put(entry);
      if (entry.kind() == LogEntry.Kind.VOTERS) {
        newestVoters = null;
      }
    }
  }

  private byte[] encodeFrame(List<LogEntry> written) {
    List<Object> items = new ArrayList<>();
    items.add(knownCommitIndex);
    items.addAll(written);
    return Frames.write(codec.encode(items));
  }

  /**
   * Records the commit index, which is stored with the next append.
   *
   * @param index index of an entry known to be committed
   */
  void recordCommitIndex(long index) {
    knownCommitIndex = Math.max(knownCommitIndex, index);
  }

  /**
   * Returns the highest commit index found in the stored frames; the actual commit index may be
   * higher.
   *
   * @return index between those of the snapshot and of the last entry
   */
  long storedCommitIndex() {
    return Math.max(snapshotIndex(), Math.min(storedCommitIndex, lastIndex()));
  }

  /**
   * Appends new entries of a leader durably, in one write.
   *
   * @param term leader's term
   * @param kind kind of all entries
   * @param payloads payloads of the entries, in order
   */
  void appendNew(long term, LogEntry.Kind kind, List<byte[]> payloads) {
    List<LogEntry> added = new ArrayList<>();
    for (byte[] payload : payloads) {
      added.add(new LogEntry(lastIndex() + 1 + added.size(), term, kind, payload));
    }
    append(added);
  }

  /**
   * Appends durably the received entries that the log lacks, after dropping all entries from the
   * first one that conflicts with a received entry.
   *
   * @param received entries from the leader, in order; the entry before them is in this log
   */
  public void appendMissing(List<LogEntry> received) {
    List<LogEntry> missing = new ArrayList<>();
    for (LogEntry entry : received) {
      if (missing.isEmpty() && termAt(entry.index()) == entry.term()) {
        continue;
      }
      if (missing.isEmpty() && lastIndex() >= entry.index()) {
        truncateFrom(entry.index());
      }
      missing.add(entry);
    }
    append(missing);
  }

  /**
   * Writes the initial state of a new quorum into an empty log.
   *
   * @param identity this controller's identity
   * @param voters all initial voters; the same list on each of them
   * @param emptyState snapshot of an empty state machine
   */
  public void bootstrap(String identity, List<String> voters, byte[] emptyState) {
    saveSnapshot(new Snapshot(1, 0, new VoterSet(voters, List.of()), emptyState), true);
    saveQuorumState(new QuorumState(identity, 0, ""));
  }

  /**
   * Returns the newest voter set in the log, committed or not.
   *
   * @return voters and learners; none in an empty log
   */
  public VoterSet voters() {
    if (newestVoters == null) {
      newestVoters = votersAt(lastIndex());
    }
    return newestVoters;
  }

  /**
   * Returns the voter set as of an entry.
   *
   * @param lastEntry index of the entry
   * @return newest voter set at or before that entry
   */
  VoterSet votersAt(long lastEntry) {
    for (LogEntry entry : entries.newestFirst(lastEntry)) {
      if (entry.kind() == LogEntry.Kind.VOTERS) {
        return VoterSetCodec.decode(entry.payload());
      }
    }
    return snapshot == null ? VoterSet.EMPTY : snapshot.voters();
  }

  /**
   * Drops all entries from an index on, durably.
   *
   * @param fromIndex first index to drop
   */
  public void truncateFrom(long fromIndex) {
    newestVoters = null;
    entries.dropFrom(fromIndex);
    segments.truncateFrom(fromIndex);
  }

  /**
   * Stores a snapshot durably and deletes the segments that it covers.
   *
   * @param taken new snapshot
   * @param keepTail true to keep the entries after the snapshot, false to drop the whole log
   */
  public void saveSnapshot(Snapshot taken, boolean keepTail) {
    disk.replace(SNAPSHOT_FILE, Frames.write(codec.encode(taken)));
    snapshot = taken;
    newestVoters = null;
    if (!keepTail) {
      truncateFrom(0);
      return;
    }
    entries.dropUntil(taken.lastIndex());
    segments.deleteUntil(taken.lastIndex());
  }

  /** Returns the content of a segment that holds all entries from an index on. */
  private byte[] contentFrom(long firstIndex) {
    List<LogEntry> kept = new ArrayList<>(entries.from(firstIndex));
    return kept.isEmpty() ? new byte[0] : encodeFrame(kept);
  }

  private void load() {
    quorumState = (QuorumState) readSingle(QUORUM_FILE);
    snapshot = (Snapshot) readSingle(SNAPSHOT_FILE);
    segments.load(this::loadFrame);
    if (replacedBySnapshot) {
      // The process crashed between storing a leader's snapshot and dropping the replaced log.
      truncateFrom(0);
    }
    checkContinuity();
  }

  private Object readSingle(String name) {
    byte[] content = disk.read(name);
    if (content == null) {
      return null;
    }
    byte[] payload = Frames.read(ByteBuffer.wrap(content));
    if (payload == null) {
      throw corrupt(name, "checksum does not match");
    }
    return codec.decode(payload);
  }

  private void loadFrame(byte[] payload) {
    for (Object item : (List<?>) codec.decode(payload)) {
      if (item instanceof LogEntry entry) {
        loadEntry(entry);
      } else {
        storedCommitIndex = Math.max(storedCommitIndex, (Long) item);
      }
    }
  }

  private void loadEntry(LogEntry entry) {
    if (entry.index() > snapshotIndex()) {
      entries.put(entry);
    } else if (entry.index() == snapshotIndex() && entry.term() != snapshot.lastTerm()) {
      replacedBySnapshot = true;
    }
  }

  private void checkContinuity() {
    long expected = snapshotIndex() + 1;
    for (LogEntry entry : entries.all()) {
      if (entry.index() != expected) {
        throw corrupt("segments", "entry " + expected + " is missing");
      }
      expected++;
    }
  }

  private static StreamcourseException corrupt(String file, String what) {
    return new StreamcourseException(ErrorCode.CORRUPT_LOG, "open-log", file, what);
  }
}
