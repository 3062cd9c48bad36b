package org.streamcourse.version.agreement;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.streamcourse.process.Disk;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.Frames;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;

/**
 * The durable part of a controller: quorum state, snapshot and log segments.
 *
 * <p>A segment is a row of frames {@code length, CRC32C, entries}. Each append writes one frame and
 * syncs it before it returns, so a crash can tear only the last frame of the last segment; such a
 * tail is cut on opening. Damage anywhere else means that acknowledged entries are lost, and
 * opening fails with {@link ErrorCode#CORRUPT_LOG}.
 *
 * <p>Before its entries a frame holds the index up to which entries were known to be committed when
 * it was written. So a controller that starts knows most of what is agreed before it has heard of
 * anybody, and no write of its own is needed for that.
 */
public final class RecordLog {
  private static final String QUORUM_FILE = "quorum-state";
  private static final String SNAPSHOT_FILE = "snapshot";
  private static final String SEGMENT_PREFIX = "segment-";
  private static final int ENTRIES_PER_SEGMENT = 512;

  private final Disk disk;
  private final MessageCodec codec;
  private final NavigableMap<Long, LogEntry> entries = new TreeMap<>();
  private final NavigableMap<Long, String> segments = new TreeMap<>();
  private QuorumState quorumState;
  private Snapshot snapshot;

  /**
   * The newest voter set, or null while it has to be looked for. It is asked for several times with
   * each message among controllers, and is up to {@link AgreementSettings#snapshotEvery} entries
   * back.
   */
  private VoterSet newestVoters;

  private boolean replacedBySnapshot;
  private long knownCommit;
  private long storedCommit;

  private RecordLog(Disk disk, MessageCodec codec) {
    this.disk = disk;
    this.codec = codec;
  }

  /**
   * Opens the log in a data folder.
   *
   * @param disk data folder
   * @param codec codec that knows the types of this package
   * @return log, possibly empty; see {@link #quorumState()}
   */
  public static RecordLog open(Disk disk, MessageCodec codec) {
    RecordLog log = new RecordLog(disk, codec);
    log.load();
    return log;
  }

  /**
   * Returns the remembered quorum state.
   *
   * @return state, or null in an empty data folder
   */
  public QuorumState quorumState() {
    return quorumState;
  }

  /**
   * Remembers a quorum state durably.
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
    return entries.isEmpty() ? snapshotIndex() : entries.lastKey();
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
   * Returns the index covered by the snapshot.
   *
   * @return 0 when there is none
   */
  public long snapshotIndex() {
    return snapshot == null ? 0 : snapshot.lastIndex();
  }

  /**
   * Returns the term of an entry.
   *
   * @param index place in the log
   * @return its term; 0 for index 0; -1 when the entry is not there
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
   * Compares the end of this log with another's.
   *
   * @param otherTerm term of the other's last entry
   * @param otherIndex index of the other's last entry
   * @return true when the other log ends at the same place or later
   */
  boolean isNoLaterThan(long otherTerm, long otherIndex) {
    boolean sameTerm = otherTerm == lastTerm();
    return otherTerm > lastTerm() || (sameTerm && otherIndex >= lastIndex());
  }

  /**
   * Returns an entry.
   *
   * @param index place in the log
   * @return entry or null
   */
  public LogEntry entry(long index) {
    return entries.get(index);
  }

  /**
   * Returns entries from an index on.
   *
   * @param fromIndex first index
   * @param limit most entries to return
   * @return entries in order
   */
  public List<LogEntry> entriesFrom(long fromIndex, int limit) {
    return entries.tailMap(fromIndex, true).values().stream().limit(limit).toList();
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
    String segment = segmentForAppend(added.get(0).index());
    disk.appendAndSync(segment, frame(added));
    for (LogEntry entry : added) {
      entries.put(entry.index(), entry);
      if (entry.kind() == LogEntry.Kind.VOTERS) {
        newestVoters = null;
      }
    }
  }

  private byte[] frame(List<LogEntry> written) {
    List<Object> items = new ArrayList<>();
    items.add(knownCommit);
    items.addAll(written);
    return Frames.write(codec.encode(items));
  }

  /**
   * Notes how far entries are committed; stored with the next append.
   *
   * @param index index of an entry known to be committed
   */
  void noteCommitted(long index) {
    knownCommit = Math.max(knownCommit, index);
  }

  /**
   * Returns the index up to which the entries in this log were known to be committed at an earlier
   * append; more may be.
   *
   * @return index, at least that of the snapshot
   */
  long storedCommit() {
    return Math.max(snapshotIndex(), Math.min(storedCommit, lastIndex()));
  }

  /**
   * Appends new entries of a leader durably, in one write.
   *
   * @param term leader's term
   * @param kind kind of all of them
   * @param payloads their contents in order
   */
  void appendNew(long term, LogEntry.Kind kind, List<byte[]> payloads) {
    List<LogEntry> added = new ArrayList<>();
    for (byte[] payload : payloads) {
      added.add(new LogEntry(lastIndex() + 1 + added.size(), term, kind, payload));
    }
    append(added);
  }

  /**
   * Appends durably what is not there yet; entries that contradict what a leader sent are dropped.
   *
   * @param received entries of the leader, in order; the one before them is in this log
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
   * Writes the first state of a new group of controllers into an empty log.
   *
   * @param identity this controller
   * @param voters all first controllers; the same list on each of them
   * @param emptyState snapshot of an empty state machine
   */
  public void bootstrap(String identity, List<String> voters, byte[] emptyState) {
    saveSnapshot(new Snapshot(1, 0, new VoterSet(voters, List.of()), emptyState), true);
    saveQuorumState(new QuorumState(identity, 0, ""));
  }

  /**
   * Returns the newest voter set in the log, committed or not.
   *
   * @return voters and learners; nobody in an empty log
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
   * @return newest set at or before it
   */
  VoterSet votersAt(long lastEntry) {
    for (LogEntry entry : entries.headMap(lastEntry, true).descendingMap().values()) {
      if (entry.kind() == LogEntry.Kind.VOTERS) {
        return VoterSetCodec.decode(entry.payload());
      }
    }
    return snapshot == null ? VoterSet.NOBODY : snapshot.voters();
  }

  /**
   * Drops all entries from an index on, durably.
   *
   * @param fromIndex first index to drop
   */
  public void truncateFrom(long fromIndex) {
    newestVoters = null;
    for (long first : List.copyOf(segments.tailMap(fromIndex, true).keySet())) {
      disk.delete(segments.remove(first));
    }
    entries.tailMap(fromIndex, true).clear();
    if (!segments.isEmpty()) {
      rewriteSegment(segments.lastKey());
    }
  }

  /**
   * Stores a snapshot durably and drops the segments that it covers.
   *
   * @param taken new snapshot
   * @param keepTail true to keep the entries after it, false when the log is replaced by it
   */
  public void saveSnapshot(Snapshot taken, boolean keepTail) {
    disk.replace(SNAPSHOT_FILE, Frames.write(codec.encode(taken)));
    snapshot = taken;
    newestVoters = null;
    if (!keepTail) {
      truncateFrom(0);
      return;
    }
    entries.headMap(taken.lastIndex(), true).clear();
    while (segments.size() > 1
        && segments.higherKey(segments.firstKey()) <= taken.lastIndex() + 1) {
      disk.delete(segments.pollFirstEntry().getValue());
    }
  }

  private String segmentForAppend(long index) {
    if (segments.isEmpty() || index - segments.lastKey() >= ENTRIES_PER_SEGMENT) {
      segments.put(index, segmentName(index));
    }
    return segments.lastEntry().getValue();
  }

  private void rewriteSegment(long firstIndex) {
    List<LogEntry> kept = new ArrayList<>(entries.tailMap(firstIndex, true).values());
    byte[] content = kept.isEmpty() ? new byte[0] : frame(kept);
    disk.replace(segments.get(firstIndex), content);
  }

  private static String segmentName(long firstIndex) {
    return String.format("%s%016d", SEGMENT_PREFIX, firstIndex);
  }

  private void load() {
    quorumState = (QuorumState) readSingle(QUORUM_FILE);
    snapshot = (Snapshot) readSingle(SNAPSHOT_FILE);
    for (String name : disk.list()) {
      if (name.startsWith(SEGMENT_PREFIX)) {
        segments.put(Long.parseLong(name.substring(SEGMENT_PREFIX.length())), name);
      }
    }
    for (long first : List.copyOf(segments.keySet())) {
      loadSegment(segments.get(first), first == segments.lastKey());
    }
    if (replacedBySnapshot) {
      // A crash came between storing a leader's snapshot and dropping the log that it replaced.
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

  private void loadSegment(String name, boolean last) {
    ByteBuffer buffer = ByteBuffer.wrap(disk.read(name));
    while (buffer.hasRemaining()) {
      int start = buffer.position();
      byte[] payload = Frames.read(buffer);
      if (payload == null) {
        cutTail(name, buffer.array(), start, last);
        return;
      }
      for (Object item : (List<?>) codec.decode(payload)) {
        if (item instanceof LogEntry entry) {
          loadEntry(entry);
        } else {
          storedCommit = Math.max(storedCommit, (Long) item);
        }
      }
    }
  }

  private void loadEntry(LogEntry entry) {
    if (entry.index() > snapshotIndex()) {
      entries.put(entry.index(), entry);
    } else if (entry.index() == snapshotIndex() && entry.term() != snapshot.lastTerm()) {
      replacedBySnapshot = true;
    }
  }

  private void cutTail(String name, byte[] content, int start, boolean last) {
    if (!last || frameFollows(content, start)) {
      throw corrupt(name, "damaged frame at byte " + start + " before the tail of the log");
    }
    byte[] kept = new byte[start];
    System.arraycopy(content, 0, kept, 0, start);
    disk.replace(name, kept);
  }

  /** A whole frame after a damaged one shows that the damage is no torn tail. */
  private static boolean frameFollows(byte[] content, int damagedAt) {
    for (int at = damagedAt + 1; at + Frames.HEADER_BYTES < content.length; at++) {
      if (Frames.read(ByteBuffer.wrap(content).position(at)) != null) {
        return true;
      }
    }
    return false;
  }

  private void checkContinuity() {
    long expected = snapshotIndex() + 1;
    for (long index : entries.keySet()) {
      if (index != expected) {
        throw corrupt(SEGMENT_PREFIX, "entry " + expected + " is missing");
      }
      expected++;
    }
  }

  private static StreamcourseException corrupt(String file, String what) {
    return new StreamcourseException(ErrorCode.CORRUPT_LOG, "open-log", file, what);
  }
}
