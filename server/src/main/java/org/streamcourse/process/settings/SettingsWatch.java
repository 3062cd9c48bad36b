package org.streamcourse.process.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Timer;
import java.util.TimerTask;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the modification time of a settings file and runs an action when it changes. */
public final class SettingsWatch extends TimerTask {
  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatch.class);
  private static final long PERIOD_MILLIS = 3_000;

  private final Path file;
  private final Runnable changed;
  private FileTime lastSeen;

  private SettingsWatch(Path file, Runnable changed) {
    this.file = file;
    this.changed = changed;
    this.lastSeen = lastModified();
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

  private FileTime lastModified() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      // The file is being replaced; the next poll finds the new one.
      return lastSeen;
    }
  }

  @Override
  public void run() {
    FileTime now = lastModified();
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
