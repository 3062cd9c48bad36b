package org.streamcourse.lab.soak;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.LabCommand;
import org.streamcourse.lab.workload.WriteOutcome;
import org.testng.annotations.Test;

/** A short run with real processes passes all checks; an interrupted run ends its processes. */
public class SoakRunTest {
  private static final int SECONDS = 15;
  private static final Duration TIMEOUT = Duration.ofSeconds(120);
  private static final int PROCESSES = 13;

  @Test
  public void aSeededRunPassesEveryCheck() throws Exception {
    Path folder = Files.createTempDirectory("streamcourse-soak-test");
    SoakSettings settings = new SoakSettings(1, SECONDS, 4, 3, 2, folder);
    SoakResult result;
    try (SoakRun run = new SoakRun(settings, new Progress(System.out))) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::close));
      result = run.run();
    }
    for (SoakCheck check : SoakCheck.values()) {
      assertEquals(check.violations(result.history()), List.of(), check.label());
      SoakHistory violating = BrokenHistory.withViolation(result.history(), check);
      assertFalse(
          check.violations(violating).isEmpty(), check.label() + " reports the added violation");
    }
    assertTrue(result.journal().count(WriteOutcome.ACKNOWLEDGED) > 0);
    assertFalse(result.history().ownReads().isEmpty());
    assertFalse(result.history().agedReads().isEmpty());
    assertFalse(result.events().isEmpty());
    assertReported(result, folder);
  }

  private static void assertReported(SoakResult result, Path folder) throws Exception {
    JsonNode json = new ObjectMapper().readTree(SoakSummary.of(result).toString());
    assertEquals(json.path("seed").asLong(), result.settings().seed());
    assertTrue(json.path("passed").asBoolean());
    assertEquals(json.path("faults").size(), result.events().size());
    assertEquals(json.path("checks").size(), SoakCheck.values().length);
    Path picture = folder.resolve("timeline.png");
    SoakTimeline.draw(picture, result);
    assertTrue(Files.size(picture) > 0);
  }

  @Test
  public void anInterruptedRunLeavesNoProcessBehind() throws Exception {
    Process lab =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                LabCommand.class.getName(),
                "soak",
                "--seed=2",
                "--seconds=60")
            .redirectErrorStream(true)
            .start();
    List<ProcessHandle> fleet = List.of();
    try {
      awaitFaults(lab);
      fleet = lab.descendants().toList();
      assertTrue(fleet.size() > PROCESSES / 2, "processes: " + fleet.size());
      lab.destroy();
      assertTrue(lab.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "the lab ends");
      List<ProcessHandle> started = fleet;
      await().atMost(TIMEOUT).until(() -> started.stream().noneMatch(ProcessHandle::isAlive));
    } finally {
      fleet.forEach(ProcessHandle::destroyForcibly);
      lab.descendants().forEach(ProcessHandle::destroyForcibly);
      lab.destroyForcibly();
    }
  }

  /** Reads progress lines until the first fault begins, when all processes run. */
  private static void awaitFaults(Process lab) throws Exception {
    BufferedReader progress = lab.inputReader();
    String line = progress.readLine();
    while (line != null && !line.contains("begins ")) {
      line = progress.readLine();
    }
    assertTrue(line != null, "the run ended before its first fault");
  }
}
