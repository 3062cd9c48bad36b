package org.streamcourse.version.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.FaultyDisk;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.MemoryLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Entries are applied once and in order, whatever fails, and a snapshot replaces them in time. */
public class AppliedStateTest {
  private static final MemoryLimits LIMITS = new MemoryLimits(1024 * 1024);
  private static final int ENTRY_BYTES = 1_000;

  /** Fails to apply an entry once. */
  private static final class FailingStateMachine implements StateMachine {
    private final List<Long> applied = new ArrayList<>();
    private long failsAt;

    @Override
    public void apply(long index, byte[] command) {
      if (index == failsAt) {
        failsAt = 0;
        throw new OutOfMemoryError("test");
      }
      applied.add(index);
    }

    @Override
    public byte[] snapshot() {
      return new byte[10];
    }

    @Override
    public void restore(byte[] state) {}

    @Override
    public void leadershipStarted(long term) {}

    @Override
    public void leadershipEnded() {}
  }

  private FailingStateMachine stateMachine;
  private MemoryDisk disk;
  private RecordLog log;
  private AppliedState applied;

  @BeforeMethod
  public void create() {
    stateMachine = new FailingStateMachine();
    disk = new MemoryDisk();
    log = RecordLog.open(disk, VoterSetCodec.codec(), LIMITS);
    log.bootstrap("a@1", List.of("a@1"), new byte[0]);
    applied = new AppliedState(log, stateMachine, AgreementSettings.DEFAULT.withMemory(LIMITS));
    applied.restore();
  }

  private void append(int count) {
    for (int i = 0; i < count; i++) {
      log.appendNew(1, LogEntry.Kind.COMMAND, List.of(new byte[ENTRY_BYTES]));
    }
  }

  /** Guards against a committed change that one controller skips after it ran out of memory. */
  @Test
  public void anEntryThatCouldNotBeAppliedIsNotSkipped() {
    append(6);
    long first = log.snapshotIndex() + 1;
    stateMachine.failsAt = first + 2;
    expectThrows(OutOfMemoryError.class, () -> applied.commitTo(first + 3));
    assertEquals(stateMachine.applied, List.of(first, first + 1));
    applied.commitTo(first + 5);
    assertEquals(
        stateMachine.applied,
        List.of(first, first + 1, first + 2, first + 3, first + 4, first + 5));
  }

  /**
   * Guards against a controller that takes no part until it is restarted, since its disk is full.
   */
  @Test
  public void entriesAreAppliedAlthoughTheSnapshotCannotBeStored() {
    int count = AgreementSettings.DEFAULT.snapshotEvery();
    append(count);
    FaultyDisk faulty = new FaultyDisk(disk);
    RecordLog opened = RecordLog.open(faulty, VoterSetCodec.codec(), LIMITS);
    AppliedState restarted =
        new AppliedState(opened, stateMachine, AgreementSettings.DEFAULT.withMemory(LIMITS));
    restarted.restore();
    faulty.failFromOn(0, FaultyDisk.Fault.NOTHING_WRITTEN);
    restarted.commitTo(opened.lastIndex());
    assertEquals(stateMachine.applied.size(), count);
    long before = opened.snapshotIndex();
    faulty.repair();
    restarted.commitTo(opened.lastIndex());
    assertTrue(opened.snapshotIndex() > before, "the snapshot is stored later");
  }

  /** Guards against a log that is limited by its number of entries, however long they are. */
  @Test
  public void aSnapshotReplacesEntriesFromTheirLimitInBytesOn() {
    int limit = LIMITS.logBytes();
    for (int i = 0; i < 200; i++) {
      append(1);
      applied.commitTo(log.lastIndex());
      assertTrue(log.entryBytes() < limit, log.entryBytes() + " bytes in memory, limit " + limit);
      long stored =
          disk.list().stream()
              .filter(name -> name.startsWith("segment"))
              .mapToLong(name -> disk.read(name).length)
              .sum();
      assertTrue(stored < 3 * limit, stored + " bytes on disk, limit " + limit + " for a segment");
    }
    RecordLog reopened = RecordLog.open(disk, VoterSetCodec.codec(), LIMITS);
    assertEquals(reopened.lastIndex(), log.lastIndex());
    assertEquals(reopened.entryBytes(), log.entryBytes());
  }
}
