package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.FaultyDisk;
import org.streamcourse.process.FaultyDisk.Fault;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.StreamcourseException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Truncations of a log of three segments that crash or fail at each of their writes. */
public class LogTruncationTest {
  private static final long LAST_INDEX = 1_300;
  private static final long CONFLICT = 100;
  private static final int MAX_WRITES = 6;

  private MemoryDisk files;
  private FaultyDisk disk;
  private RecordLog log;

  private void fill() {
    files = new MemoryDisk();
    disk = new FaultyDisk(files);
    log = RecordLog.open(disk, VoterSetCodec.codec());
    log.bootstrap("a@1", List.of("a@1"), new byte[0]);
    List<LogEntry> added = new ArrayList<>();
    for (long index = log.lastIndex() + 1; index <= LAST_INDEX; index++) {
      added.add(entry(index, 1));
      if (added.size() == 10 || index == LAST_INDEX) {
        log.append(added);
        added.clear();
      }
    }
  }

  @BeforeMethod
  public void reset() {
    fill();
    assertEquals(files.list().stream().filter(name -> name.startsWith("segment")).count(), 3);
  }

  private static LogEntry entry(long index, long term) {
    byte[] payload = ("entry " + index).getBytes(StandardCharsets.UTF_8);
    return new LogEntry(index, term, LogEntry.Kind.COMMAND, payload);
  }

  private static Snapshot snapshot(long lastIndex) {
    return new Snapshot(lastIndex, 2, new VoterSet(List.of("a@1"), List.of()), new byte[0]);
  }

  /** Runs a task and returns whether the disk failed it. */
  private static boolean fails(Runnable task) {
    try {
      task.run();
      return false;
    } catch (StreamcourseException e) {
      return true;
    }
  }

  /** Guards against a controller that never starts again after a crash during a truncation. */
  @Test
  public void aLogOpensAfterACrashDuringATruncation() {
    boolean crashed = true;
    for (int writes = 0; crashed; writes++) {
      assertTrue(writes < MAX_WRITES, "more writes than expected");
      fill();
      disk.failFromOn(writes, Fault.NOTHING_WRITTEN);
      crashed = fails(() -> log.truncateFrom(CONFLICT));
      RecordLog reopened = RecordLog.open(files, VoterSetCodec.codec());
      assertTrue(reopened.lastIndex() >= CONFLICT - 1, "entries before the truncation are kept");
    }
  }

  @DataProvider
  public Object[][] snapshotIndexes() {
    return new Object[][] {{CONFLICT}, {600}, {LAST_INDEX}, {2 * LAST_INDEX}};
  }

  /** Guards against a controller that never starts again after a crash while it installs one. */
  @Test(dataProvider = "snapshotIndexes")
  public void aLogOpensAfterACrashDuringItsReplacementByASnapshot(long index) {
    boolean crashed = true;
    for (int writes = 0; crashed; writes++) {
      assertTrue(writes < MAX_WRITES, "more writes than expected");
      fill();
      disk.failFromOn(writes, Fault.NOTHING_WRITTEN);
      crashed = fails(() -> log.saveSnapshot(snapshot(index), false));
      RecordLog reopened = RecordLog.open(files, VoterSetCodec.codec());
      assertEquals(reopened.lastIndex(), writes == 0 ? LAST_INDEX : index);
    }
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {{Fault.NOTHING_WRITTEN}, {Fault.ALL_WRITTEN}};
  }

  /** Guards against entries in memory that the files lack, and against two contents of an index. */
  @Test(dataProvider = "faults")
  public void aLogThatWentOnAfterAFailedTruncationOpensWithTheSameEntries(Fault fault) {
    boolean failed = true;
    for (int writes = 0; failed; writes++) {
      assertTrue(writes < MAX_WRITES, "more writes than expected");
      fill();
      disk.failOnceAfter(writes, fault);
      failed = fails(() -> log.truncateFrom(CONFLICT));
      disk.repair();
      log.append(List.of(entry(log.lastIndex() + 1, 3)));
      RecordLog reopened = RecordLog.open(files, VoterSetCodec.codec());
      assertEquals(reopened.lastIndex(), log.lastIndex(), "failed write " + writes);
      assertEquals(reopened.lastTerm(), 3, "failed write " + writes);
      assertEquals(reopened.termAt(log.lastIndex() - 1), 1, "failed write " + writes);
    }
  }
}
