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

/** The durable log: what it keeps, what it cuts, and when it refuses to open. */
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
  public void returnsWhatWasSynced() {
    RecordLog log = RecordLog.open(disk, codec);
    assertEquals(log.lastIndex(), ENTRIES + 1);
    assertEquals(log.quorumState().identity(), "c1@a");
    assertEquals(new String(log.entry(5).payload()), "entry 5");
  }

  /**
   * With 20 entries since the last change of voters, each question decoded the set anew and looked
   * through all of them; a leader asks some six times for each message of another controller.
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
  public void cutsATornTailAtEveryByte() {
    byte[] whole = disk.read(lastSegment());
    int lastFrame = whole.length - wholeFrameLength(whole);
    for (int length = whole.length - 1; length >= lastFrame; length--) {
      disk.replace(lastSegment(), Arrays.copyOf(whole, length));
      RecordLog log = RecordLog.open(disk, codec);
      assertEquals(log.lastIndex(), ENTRIES, "torn at byte " + length);
      assertNull(log.entry(ENTRIES + 1));
      log.append(List.of(entry(ENTRIES + 1, 2)));
      assertEquals(RecordLog.open(disk, codec).lastTerm(), 2);
    }
  }

  /** All frames of the test have the same length but for the digits of their numbers. */
  private static int wholeFrameLength(byte[] segment) {
    int at = 0;
    int length = 0;
    while (at < segment.length) {
      length = 8 + java.nio.ByteBuffer.wrap(segment, at, 4).getInt();
      at += length;
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
  public void replacesWhatContradictsTheLeader() {
    RecordLog log = RecordLog.open(disk, codec);
    log.appendMissing(List.of(entry(10, 1), entry(11, 3), entry(12, 3)));
    assertEquals(log.lastIndex(), 12);
    RecordLog again = RecordLog.open(disk, codec);
    assertEquals(again.lastIndex(), 12);
    assertEquals(again.termAt(10), 1);
    assertEquals(again.termAt(11), 3);
  }

  @Test
  public void snapshotReplacesWhatItCovers() {
    RecordLog log = RecordLog.open(disk, codec);
    log.saveSnapshot(
        new Snapshot(15, 1, new VoterSet(List.of("c1@a"), List.of()), new byte[] {9}), true);
    RecordLog again = RecordLog.open(disk, codec);
    assertEquals(again.snapshotIndex(), 15);
    assertEquals(again.lastIndex(), ENTRIES + 1);
    assertNull(again.entry(15));
  }

  @Test
  public void knowsAfterAStartWhatWasCommittedBeforeTheLastAppend() {
    RecordLog log = RecordLog.open(disk, codec);
    assertEquals(log.storedCommit(), 1, "nothing but the snapshot is known to be committed");
    log.noteCommitted(10);
    assertEquals(RecordLog.open(disk, codec).storedCommit(), 1, "not written by itself");
    log.append(List.of(entry(log.lastIndex() + 1, 1)));
    assertEquals(RecordLog.open(disk, codec).storedCommit(), 10);
  }

  @Test
  public void whatIsKnownToBeCommittedNeverLiesBeyondTheLog() {
    RecordLog log = RecordLog.open(disk, codec);
    log.noteCommitted(ENTRIES + 1);
    log.append(List.of(entry(log.lastIndex() + 1, 1)));
    byte[] whole = disk.read(lastSegment());
    disk.replace(lastSegment(), Arrays.copyOf(whole, whole.length - 1));
    RecordLog torn = RecordLog.open(disk, codec);
    assertEquals(torn.lastIndex(), ENTRIES + 1);
    assertEquals(torn.storedCommit(), 1, "the torn frame told it");
  }
}
