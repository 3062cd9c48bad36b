package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.List;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.request.StreamTypes;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The durable log: what survives a restart, torn writes, and damage with which it fails to open.
 */
public class RecordLogTest {
  private static final int ENTRIES = 20;

  private final MessageCodec codec = StreamTypes.codec();
  private MemoryDisk disk;

  @BeforeMethod
  public void fill() {
    disk = new MemoryDisk();
    RecordLog log = RecordLog.open(disk, codec);
    log.bootstrap("c1@a", List.of("c1@a"), new byte[] {7});
    for (int i = 0; i < ENTRIES; i++) {
      log.append(List.of(entry(log.lastIndex() + 1, 1)));
    }
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, LogEntry.Kind.COMMAND, ("entry " + index).getBytes());
  }

  private String lastSegment() {
    return disk.list().stream().filter(name -> name.startsWith("segment")).reduce("", (a, b) -> b);
  }

  @Test
  public void returnsSyncedEntriesAfterReopening() {
    RecordLog log = RecordLog.open(disk, codec);
    assertEquals(log.lastIndex(), ENTRIES + 1);
    assertEquals(log.quorumState().identity(), "c1@a");
    assertEquals(new String(log.entry(5).payload()), "entry 5");
  }

  /**
   * The voter set is decoded once until it changes. A leader reads it some six times for each
   * message from another controller; without the cache, each read searched all entries since the
   * last change of voters (20 in this test) and decoded the set reopened.
   */
  @Test
  public void readsTheVoterSetOnceUntilItChanges() {
    RecordLog log = RecordLog.open(disk, codec);
    VoterSet first = log.voters();
    log.append(List.of(entry(log.lastIndex() + 1, 1)));
    assertSame(log.voters(), first);
    VoterSet next = first.withLearner("c2@b");
    long index = log.lastIndex() + 1;
    log.append(List.of(new LogEntry(index, 1, LogEntry.Kind.VOTERS, VoterSetCodec.encode(next))));
    assertEquals(log.voters(), next);
    assertSame(log.voters(), log.voters());
    log.truncateFrom(index);
    assertEquals(log.voters(), first);
    log.saveSnapshot(new Snapshot(index, 1, next, new byte[0]), false);
    assertEquals(log.voters(), next);
  }

  @Test
  public void truncatesATornTailAtEveryByte() {
    byte[] whole = disk.read(lastSegment());
    int lastFrameStart = whole.length - lastFrameLength(whole);
    for (int length = whole.length - 1; length >= lastFrameStart; length--) {
      disk.replace(lastSegment(), Arrays.copyOf(whole, length));
      RecordLog log = RecordLog.open(disk, codec);
      assertEquals(log.lastIndex(), ENTRIES, "torn at byte " + length);
      assertNull(log.entry(ENTRIES + 1));
      log.append(List.of(entry(ENTRIES + 1, 2)));
      assertEquals(RecordLog.open(disk, codec).lastTerm(), 2);
    }
  }

  /** Returns the length of a segment's last frame. */
  private static int lastFrameLength(byte[] segment) {
    int position = 0;
    int length = 0;
    while (position < segment.length) {
      length = 8 + java.nio.ByteBuffer.wrap(segment, position, 4).getInt();
      position += length;
    }
    return length;
  }

  @Test
  public void refusesToOpenWithDamageBeforeTheTail() {
    byte[] damaged = disk.read(lastSegment());
    damaged[damaged.length / 2] ^= 1;
    disk.replace(lastSegment(), damaged);
    StreamcourseException error =
        expectThrows(StreamcourseException.class, () -> RecordLog.open(disk, codec));
    assertEquals(error.code(), ErrorCode.CORRUPT_LOG);
    assertEquals(error.step(), "open-log");
  }

  @Test
  public void refusesToOpenWithADamagedQuorumState() {
    byte[] damaged = disk.read("quorum-state");
    damaged[damaged.length - 1] ^= 1;
    disk.replace("quorum-state", damaged);
    expectThrows(StreamcourseException.class, () -> RecordLog.open(disk, codec));
  }

  @Test
  public void refusesToOpenWithAMissingSegment() {
    RecordLog log = RecordLog.open(disk, codec);
    for (int i = 0; i < 1_200; i++) {
      log.append(List.of(entry(log.lastIndex() + 1, 1)));
    }
    List<String> segments =
        disk.list().stream().filter(name -> name.startsWith("segment")).toList();
    disk.delete(segments.get(1));
    expectThrows(StreamcourseException.class, () -> RecordLog.open(disk, codec));
  }

  @Test
  public void replacesEntriesThatConflictWithTheLeader() {
    RecordLog log = RecordLog.open(disk, codec);
    log.appendMissing(List.of(entry(10, 1), entry(11, 3), entry(12, 3)));
    assertEquals(log.lastIndex(), 12);
    RecordLog reopened = RecordLog.open(disk, codec);
    assertEquals(reopened.lastIndex(), 12);
    assertEquals(reopened.termAt(10), 1);
    assertEquals(reopened.termAt(11), 3);
  }

  @Test
  public void snapshotReplacesCoveredEntries() {
    RecordLog log = RecordLog.open(disk, codec);
    log.saveSnapshot(
        new Snapshot(15, 1, new VoterSet(List.of("c1@a"), List.of()), new byte[] {9}), true);
    RecordLog reopened = RecordLog.open(disk, codec);
    assertEquals(reopened.snapshotIndex(), 15);
    assertEquals(reopened.lastIndex(), ENTRIES + 1);
    assertNull(reopened.entry(15));
  }

  @Test
  public void storesTheCommitIndexWithTheNextAppend() {
    RecordLog log = RecordLog.open(disk, codec);
    assertEquals(log.storedCommitIndex(), 1, "only the snapshot is known to be committed");
    log.recordCommitIndex(10);
    assertEquals(
        RecordLog.open(disk, codec).storedCommitIndex(), 1, "not written without an append");
    log.append(List.of(entry(log.lastIndex() + 1, 1)));
    assertEquals(RecordLog.open(disk, codec).storedCommitIndex(), 10);
  }

  @Test
  public void storedCommitIndexNeverExceedsTheLog() {
    RecordLog log = RecordLog.open(disk, codec);
    log.recordCommitIndex(ENTRIES + 1);
    log.append(List.of(entry(log.lastIndex() + 1, 1)));
    byte[] whole = disk.read(lastSegment());
    disk.replace(lastSegment(), Arrays.copyOf(whole, whole.length - 1));
    RecordLog torn = RecordLog.open(disk, codec);
    assertEquals(torn.lastIndex(), ENTRIES + 1);
    assertEquals(torn.storedCommitIndex(), 1, "the commit index was in the torn frame");
  }
}
