package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.streamcourse.process.FaultyChannel.Fault;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.LogEntry;
import org.streamcourse.version.agreement.RecordLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Files of a data folder, and the log in them, after writes and syncs that failed. */
public class FolderDiskTest {
  private static final String FILE = "file";

  private Path folder;
  private FaultyChannel.Faults faults;
  private FolderDisk disk;

  @BeforeMethod
  public void open() throws IOException {
    folder = Files.createTempDirectory("folder-disk");
    faults = new FaultyChannel.Faults();
    disk = open(faults);
  }

  private FolderDisk open(FaultyChannel.Faults injected) {
    return new FolderDisk(
        folder,
        (file, options) ->
            new FaultyChannel(file.getFileName(), FileChannel.open(file, options), injected));
  }

  @AfterMethod(alwaysRun = true)
  public void delete() throws IOException {
    disk.close();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  @DataProvider
  public Object[][] appendFaults() {
    return new Object[][] {{Fault.HALF_WRITTEN}, {Fault.UNSYNCED}, {Fault.REFUSED}};
  }

  private String content() {
    return new String(disk.read(FILE), StandardCharsets.UTF_8);
  }

  private void append(String text) {
    disk.appendAndSync(FILE, text.getBytes(StandardCharsets.UTF_8));
  }

  private void failToAppend(String text) {
    expectThrows(StreamcourseException.class, () -> append(text));
  }

  /** Guards against bytes of a failed append in front of the next one. */
  @Test(dataProvider = "appendFaults")
  public void aFailedAppendLeavesNothingInTheFile(Fault fault) {
    append("first,");
    faults.next = fault;
    failToAppend("failed,");
    assertEquals(content(), "first,");
    append("second");
    assertEquals(content(), "first,second");
  }

  /** Guards against an append behind the bytes of a failed one that could not be cut off. */
  @Test
  public void noAppendSucceedsUntilTheFileIsCutBack() {
    append("first,");
    faults.next = Fault.HALF_WRITTEN;
    faults.truncationFails = true;
    failToAppend("failed,");
    failToAppend("failed as well,");
    faults.truncationFails = false;
    append("second");
    assertEquals(content(), "first,second");
  }

  /** Guards against a replacement that fails and forgets the bytes of a failed append before it. */
  @Test
  public void aFileThatCouldNotBeReplacedIsStillCutBack() {
    append("first,");
    faults.next = Fault.HALF_WRITTEN;
    faults.truncationFails = true;
    failToAppend("failed,");
    faults.next = Fault.REFUSED;
    expectThrows(StreamcourseException.class, () -> disk.replace(FILE, new byte[] {1}));
    faults.truncationFails = false;
    append("second");
    assertEquals(content(), "first,second");
  }

  /** Guards against acknowledged bytes in a new file that a loss of power removes. */
  @Test
  public void aNewFileIsNotAppendedToBeforeItsFolderIsSynced() {
    faults.next = Fault.UNSYNCED;
    failToAppend("failed,");
    faults.synced.clear();
    append("first");
    assertEquals(faults.synced, List.of(folder.getFileName().toString(), FILE));
    assertEquals(content(), "first");
  }

  /**
   * Guards against entries that a killed process wrote without a sync: they count as stored once
   * the log is opened, and a loss of power would remove them.
   */
  @Test
  public void aLogThatIsOpenedIsSynced() {
    RecordLog log = openLog();
    log.bootstrap("a@1", List.of("a@1"), new byte[0]);
    log.append(List.of(entry(2, "first")));
    FaultyChannel.Faults restarted = new FaultyChannel.Faults();
    try (FolderDisk after = open(restarted)) {
      assertEquals(RecordLog.open(after, StreamTypes.codec()).lastIndex(), 2);
    }
    List<String> expected = List.of(folder.getFileName().toString(), "segment-0000000000000002");
    assertTrue(restarted.synced.containsAll(expected), restarted.synced.toString());
  }

  private RecordLog openLog() {
    return RecordLog.open(disk, StreamTypes.codec());
  }

  private static LogEntry entry(long index, String text) {
    byte[] payload = text.getBytes(StandardCharsets.UTF_8);
    return new LogEntry(index, 1, LogEntry.Kind.COMMAND, payload);
  }

  /** Guards against a controller that never starts again, or with entries it reported as failed. */
  @Test(dataProvider = "appendFaults")
  public void aLogOpensWithoutTheEntriesOfAFailedAppend(Fault fault) {
    RecordLog log = openLog();
    log.bootstrap("a@1", List.of("a@1"), new byte[0]);
    log.append(List.of(entry(2, "first")));
    faults.next = fault;
    expectThrows(
        StreamcourseException.class,
        () -> log.append(List.of(entry(3, "failed"), entry(4, "failed"))));
    log.append(List.of(entry(3, "second")));
    RecordLog reopened = openLog();
    assertEquals(reopened.lastIndex(), 3);
    assertEquals(new String(reopened.entry(3).payload(), StandardCharsets.UTF_8), "second");
  }
}
