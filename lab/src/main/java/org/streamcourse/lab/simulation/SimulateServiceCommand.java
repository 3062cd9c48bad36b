package org.streamcourse.lab.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs scenarios of a service whose members register themselves, for a range of seeds. */
@Command(
    name = "simulate-service",
    mixinStandardHelpOptions = true,
    description =
        "Runs the decision code with self-registering members under faults on a virtual clock;"
            + " exit 1 on a violation.")
public final class SimulateServiceCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--first-seed", required = true, description = "First seed.")
  private long firstSeed;

  @Option(names = "--runs", required = true, description = "Number of seeds.")
  private long runs;

  @Option(names = "--scenario", description = "Scenario to run; all scenarios by default.")
  private String scenario;

  @Option(
      names = "--synchronous-replicas",
      defaultValue = "0",
      description = "Replicas that must receive a commit before it is acknowledged.")
  private int synchronousReplicas;

  /** Result of one run. */
  private record Outcome(long seed, ServiceChecks checks, FaultCounter faults) {}

  @Override
  public Integer call() throws Exception {
    FaultCounter faults = new FaultCounter();
    FaultCounter checks = new FaultCounter();
    long violations = 0;
    for (ServiceScenario each : selectedScenarios()) {
      List<Outcome> outcomes =
          LongStream.range(firstSeed, firstSeed + runs)
              .parallel()
              .mapToObj(seed -> run(seed, each))
              .toList();
      long violating = 0;
      for (Outcome outcome : outcomes) {
        faults.addAll(outcome.faults());
        checks.addAll(outcome.checks().checks());
        violations += outcome.checks().violations().size();
        if (!outcome.checks().violations().isEmpty()) {
          violating++;
          System.out.printf(
              "  seed %d: %s%n", outcome.seed(), outcome.checks().violations().get(0));
          System.out.printf("    %s%n", outcome.checks().lastEvents());
        }
      }
      System.out.printf("%-40s %d runs, %d with violations%n", each.label(), runs, violating);
    }
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode json = mapper.createObjectNode();
    json.put("seeds", selectedScenarios().size() * runs);
    json.put("violations", violations);
    json.set("faults_injected", mapper.valueToTree(faults.counts()));
    json.set("checks", mapper.valueToTree(checks.counts()));
    System.out.println(mapper.writeValueAsString(json));
    return violations == 0 ? 0 : 1;
  }

  private List<ServiceScenario> selectedScenarios() {
    List<ServiceScenario> selected =
        Stream.of(ServiceScenario.values())
            .filter(each -> scenario == null || each.label().equals(scenario))
            .toList();
    if (selected.isEmpty()) {
      List<String> names = Stream.of(ServiceScenario.values()).map(ServiceScenario::label).toList();
      throw new ParameterException(
          spec.commandLine(), "--scenario: '" + scenario + "' is none of " + names);
    }
    return selected;
  }

  private Outcome run(long seed, ServiceScenario each) {
    ServiceWorld world =
        new ServiceWorld(seed, ServiceSize.DEFAULT.withSynchronousReplicas(synchronousReplicas));
    world.run(each::start);
    return new Outcome(seed, world.checks(), world.faults());
  }
}
