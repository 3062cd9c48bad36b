package org.streamcourse.process.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Timer;
import java.util.TimerTask;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the attributes of a settings file and runs an action when they change. */
public final class SettingsWatch extends TimerTask {
  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatch.class);
  private static final long PERIOD_MILLIS = 3_000;

  /**
   * What differs between two contents of the file. Two writes within one tick of the file system's
   * clock have the same modification time.
   */
  private record Attributes(FileTime modified, long size, Object fileKey) {}

  private final Path file;
  private final Runnable changed;
  private Attributes lastSeen;

  private SettingsWatch(Path file, Runnable changed) {
    this.file = file;
    this.changed = changed;
    this.lastSeen = attributes();
  }

  /**
   * Starts a daemon thread that polls the file every 3 s until the process exits.
   *
   * @param file settings file
   * @param changed action that runs after each detected change
   */
  public static void start(Path file, Runnable changed) {
    Timer timer = new Timer("settings-watch", true);
    timer.schedule(new SettingsWatch(file, changed), PERIOD_MILLIS, PERIOD_MILLIS);
  }

  private Attributes attributes() {
    try {
      BasicFileAttributes read = Files.readAttributes(file, BasicFileAttributes.class);
      return new Attributes(read.lastModifiedTime(), read.size(), read.fileKey());
    } catch (IOException e) {
      // The file is being replaced; the next poll finds the new one.
      return lastSeen;
    }
  }

  @Override
  public void run() {
    Attributes now = attributes();
    if (now != null && !now.equals(lastSeen)) {
      lastSeen = now;
      runChanged();
    }
  }

  private void runChanged() {
    try {
      changed.run();
    } catch (RuntimeException e) {
      // The timer would end with the exception, and no further change would be detected.
      LOG.error("the change of {} could not be applied", file, e);
    }
  }
}
