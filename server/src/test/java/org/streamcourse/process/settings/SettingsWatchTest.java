package org.streamcourse.process.settings;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Each change of a settings file is detected. */
public class SettingsWatchTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private static Path file() throws IOException {
    Path file = Files.createTempFile("settings-watch", ".yaml");
    file.toFile().deleteOnExit();
    return Files.writeString(file, "a: 1");
  }

  /** Guards against a reload that fails and after which no change is detected any more. */
  @Test
  public void aChangeAfterAFailedReloadIsDetected() throws IOException {
    Path file = file();
    AtomicInteger reloads = new AtomicInteger();
    SettingsWatch.start(
        file,
        () -> {
          if (reloads.incrementAndGet() == 1) {
            throw new IllegalStateException("the first reload fails");
          }
        });
    Files.writeString(file, "a: 22");
    await().atMost(TIMEOUT).until(() -> reloads.get() == 1);
    Files.writeString(file, "a: 333");
    await().atMost(TIMEOUT).until(() -> reloads.get() == 2);
  }

  /** Guards against a file that was read while half written, and whose rest is never read. */
  @Test
  public void aChangeWithinOneTickOfTheFileSystemsClockIsDetected() throws IOException {
    Path file = file();
    FileTime tick = Files.getLastModifiedTime(file);
    AtomicInteger reloads = new AtomicInteger();
    SettingsWatch.start(file, reloads::incrementAndGet);
    Files.writeString(file, "a: 22");
    Files.setLastModifiedTime(file, tick);
    await().atMost(TIMEOUT).until(() -> reloads.get() == 1);
  }
}
