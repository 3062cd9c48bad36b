package org.streamcourse.lab.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs scenarios for a range of seeds and reports the checks made and the violations found. */
@Command(
    name = "simulate",
    mixinStandardHelpOptions = true,
    description = "Runs the decision code under faults on a virtual clock; exit 1 on a violation.")
public final class SimulateCommand implements Callable<Integer> {
  private static final Pattern SEEDS = Pattern.compile("(\\d{1,18})(?:\\.\\.(\\d{1,18}))?");

  @Spec private CommandSpec spec;

  @Option(names = "--seeds", required = true, description = "First and last seed, as A..B.")
  private String seeds;

  @Option(names = "--scenario", description = "Scenario to run; all scenarios by default.")
  private String scenario;

  @Option(names = "--errors", description = "Also print the errors that callers received.")
  private boolean errors;

  /** Result of one run, without its world: thousands of retained worlds would fill the heap. */
  private record Outcome(
      long seed,
      Scenario scenario,
      History history,
      FaultCounter faults,
      Map<String, Long> errors) {}

  @Override
  public Integer call() throws Exception {
    List<Scenario> scenarios = selectedScenarios();
    Matcher bounds = SEEDS.matcher(seeds);
    if (!bounds.matches()) {
      throw new ParameterException(
          spec.commandLine(), "--seeds: '" + seeds + "' is not of the form A..B");
    }
    long first = Long.parseLong(bounds.group(1));
    long last = bounds.group(2) == null ? first : Long.parseLong(bounds.group(2));
    FaultCounter faults = new FaultCounter();
    FaultCounter checks = new FaultCounter();
    Outcome earliestViolation = null;
    long violations = 0;
    for (Scenario each : scenarios) {
      List<Outcome> outcomes =
          LongStream.rangeClosed(first, last).parallel().mapToObj(seed -> run(seed, each)).toList();
      for (Outcome outcome : outcomes) {
        faults.addAll(outcome.faults());
        checks.addAll(outcome.history().checks());
        violations += outcome.history().violations().size();
        earliestViolation = earlier(earliestViolation, outcome);
        if (errors) {
          outcome.errors().forEach((text, n) -> System.out.println(n + " x " + text));
        }
      }
      report(each, outcomes);
    }
    if (earliestViolation != null) {
      printExcerpt(earliestViolation);
    }
    printJson(scenarios.size() * (last - first + 1), violations, faults, checks);
    return violations == 0 ? 0 : 1;
  }

  private List<Scenario> selectedScenarios() {
    if (scenario == null) {
      return List.of(Scenario.values());
    }
    Optional<Scenario> named = Scenario.named(scenario);
    if (named.isEmpty()) {
      List<String> names = new ArrayList<>();
      List.of(Scenario.values()).forEach(each -> names.add(each.label()));
      throw new ParameterException(
          spec.commandLine(), "--scenario: '" + scenario + "' is none of " + names);
    }
    return List.of(named.get());
  }

  private static Outcome run(long seed, Scenario scenario) {
    World world = new World(seed, new SimHooks());
    world.run(scenario);
    return new Outcome(seed, scenario, world.history(), world.faults(), world.errors());
  }

  private static Outcome earlier(Outcome best, Outcome candidate) {
    if (candidate.history().violations().isEmpty()) {
      return best;
    }
    boolean better = best == null || firstViolation(candidate) < firstViolation(best);
    return better ? candidate : best;
  }

  private static long firstViolation(Outcome outcome) {
    String first = outcome.history().violations().get(0);
    return Long.parseLong(first.substring(0, first.indexOf(' ')));
  }

  private static void report(Scenario scenario, List<Outcome> outcomes) {
    long acknowledged = 0;
    long unknown = 0;
    long notRun = 0;
    long reads = 0;
    long violating = 0;
    for (Outcome outcome : outcomes) {
      History history = outcome.history();
      acknowledged += history.count(History.Outcome.ACKNOWLEDGED);
      unknown += history.count(History.Outcome.UNKNOWN);
      notRun += history.count(History.Outcome.NOT_RUN);
      reads += history.reads();
      if (!history.violations().isEmpty()) {
        violating++;
        System.out.printf("  seed %d: %s%n", outcome.seed(), history.violations().get(0));
      }
    }
    System.out.printf(
        "%-20s %d runs, %d with violations; %d bookings acknowledged, %d not run, %d unknown,"
            + " %d reads%n",
        scenario.label(), outcomes.size(), violating, acknowledged, notRun, unknown, reads);
  }

  private static void printExcerpt(Outcome outcome) {
    System.out.printf(
        "Shortest history with a violation: scenario %s, seed %d%n",
        outcome.scenario().label(), outcome.seed());
    outcome.history().excerpt().forEach(line -> System.out.println("  " + line));
  }

  private static void printJson(
      long runs, long violations, FaultCounter faults, FaultCounter checks) throws Exception {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode json = mapper.createObjectNode();
    json.put("seeds", runs);
    json.put("violations", violations);
    json.set("faults_injected", mapper.valueToTree(faults.counts()));
    json.set("checks", mapper.valueToTree(checks.counts()));
    System.out.println(mapper.writeValueAsString(json));
  }
}
