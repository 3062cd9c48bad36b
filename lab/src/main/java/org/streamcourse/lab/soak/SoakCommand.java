package org.streamcourse.lab.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs a fleet of real processes under faults that are derived from a seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Runs a fleet of real processes under faults from outside, chosen by a seed, and checks"
            + " what callers and members see; exit 1 on a violation.")
public final class SoakCommand implements Callable<Integer> {
  /** Exclusive limit of the number of processes in a run. */
  private static final int PROCESS_LIMIT = 100;

  private static final int MEMBERS_PER_GROUP = 3;

  @Spec private CommandSpec spec;

  @Option(names = "--seconds", defaultValue = "20", description = "Time in which faults happen.")
  private int seconds;

  @Option(names = "--seed", required = true, description = "Chooses the faults.")
  private long seed;

  @Option(names = "--edges", defaultValue = "4", description = "Proxies.")
  private int edges;

  @Option(names = "--controllers", defaultValue = "3", description = "Controllers.")
  private int controllers;

  @Option(names = "--groups", defaultValue = "2", description = "Groups of three members.")
  private int groups;

  @Option(names = "--dir", description = "Folder for data and logs; a new one when left out.")
  private Path folder;

  @Option(names = "--json", description = "File for the summary.")
  private Path json;

  @Option(names = "--timeline", description = "PNG file for a picture of the run.")
  private Path timeline;

  @Override
  public Integer call() throws Exception {
    validate();
    Path logs = folder == null ? Files.createTempDirectory("streamcourse-soak") : folder;
    SoakSettings settings = new SoakSettings(seed, seconds, edges, controllers, groups, logs);
    SoakResult result = run(settings);
    ObjectNode summary = SoakSummary.of(result);
    if (json != null) {
      Files.writeString(json, summary.toPrettyString());
    }
    if (timeline != null) {
      SoakTimeline.draw(timeline, result);
    }
    result
        .violations()
        .forEach((check, found) -> found.forEach(each -> print(check.label() + ": " + each)));
    print(result.passed() ? "passed" : "FAILED " + result.failedChecks() + ", logs in " + logs);
    print(new ObjectMapper().writeValueAsString(summary));
    return result.passed() ? 0 : 1;
  }

  private void validate() {
    requireBetween("--seconds", seconds, 1, Integer.MAX_VALUE / 1_000);
    requireBetween("--edges", edges, 1, PROCESS_LIMIT);
    requireBetween("--controllers", controllers, 1, PROCESS_LIMIT);
    requireBetween("--groups", groups, 1, PROCESS_LIMIT);
    int processes = edges + controllers + MEMBERS_PER_GROUP * groups;
    requireBetween(
        "--edges, --controllers and --groups make processes:", processes, 1, PROCESS_LIMIT - 1);
  }

  private void requireBetween(String option, int value, int min, int max) {
    if (value < min || value > max) {
      throw new ParameterException(
          spec.commandLine(), option + " " + value + " is not in " + min + ".." + max);
    }
  }

  private static SoakResult run(SoakSettings settings) throws Exception {
    SoakRun run = new SoakRun(settings, new Progress(System.out));
    Thread shutdownHook = new Thread(run::close, "soak-close");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try (run) {
      return run.run();
    }
  }

  private static void print(String line) {
    System.out.println(line);
  }
}
