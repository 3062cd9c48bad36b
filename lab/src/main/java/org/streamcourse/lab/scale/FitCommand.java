package org.streamcourse.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Fits {@code value = a + b * nodes + c * databases} to the results of several scale runs. Prints
 * the slopes with their standard errors, and the value predicted for a given fleet size.
 */
@Command(
    name = "fit",
    mixinStandardHelpOptions = true,
    description = "Fits slopes to the results of scale runs, one JSON object per line.")
public final class FitCommand implements Callable<Integer> {
  private static final int MIN_RUNS = 4;

  @Parameters(arity = "1..*", description = "Files with results; other lines are skipped.")
  private List<Path> files;

  @Option(names = "--nodes", defaultValue = "670", description = "Number of nodes to predict for.")
  private int nodes;

  @Option(
      names = "--databases",
      defaultValue = "970",
      description = "Number of databases to predict for.")
  private int databases;

  /** A quantity to fit, and how to read it from the result of a run. */
  private record Value(String name, ToDoubleFunction<JsonNode> reader) {}

  private static final List<Value> VALUES_BY_DATABASES_PER_NODE =
      List.of(
          new Value(
              "node: control, bytes/s",
              run -> run.at("/node/control_bytes_per_second_per_node").asDouble()),
          new Value(
              "node: control, core",
              run -> run.at("/node/control_core_share_per_node").asDouble()));

  private static final List<Value> VALUES =
      List.of(
          new Value("node: heap, bytes", run -> run.at("/node/heap_bytes_per_node").asDouble()),
          new Value(
              "leader: control, bytes/s",
              run ->
                  run.at("/leader/control_bytes_per_second_per_node").asDouble()
                      * run.path("nodes").asInt()),
          new Value("leader: core", run -> run.at("/leader/core_share").asDouble()),
          new Value("leader: heap, bytes", run -> run.at("/leader/heap_bytes").asDouble()),
          new Value("voter: core", run -> run.at("/voter/core_share").asDouble()),
          new Value("voter: heap, bytes", run -> run.at("/voter/heap_bytes").asDouble()));

  @Override
  public Integer call() throws IOException {
    List<JsonNode> runs = readRuns();
    if (runs.size() < MIN_RUNS) {
      System.err.println("only " + runs.size() + " results found, " + MIN_RUNS + " are needed");
      return 2;
    }
    System.out.printf("%d runs%n", runs.size());
    VALUES.forEach(value -> fit(value, runs));
    VALUES_BY_DATABASES_PER_NODE.forEach(value -> fitByDatabasesPerNode(value, runs));
    return 0;
  }

  private List<JsonNode> readRuns() throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    List<JsonNode> runs = new ArrayList<>();
    for (Path file : files) {
      for (String line : Files.readAllLines(file)) {
        if (line.startsWith("{\"nodes\"")) {
          runs.add(mapper.readTree(line));
        }
      }
    }
    return runs;
  }

  private void fit(Value value, List<JsonNode> runs) {
    double[] measured = runs.stream().mapToDouble(value.reader()).toArray();
    double[][] sizes =
        runs.stream()
            .map(run -> new double[] {run.path("nodes").asInt(), run.path("databases").asInt()})
            .toArray(double[][]::new);
    OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
    regression.newSampleData(measured, sizes);
    double[] slopes = regression.estimateRegressionParameters();
    double[] errors = regression.estimateRegressionParametersStandardErrors();
    double atSize = slopes[0] + slopes[1] * nodes + slopes[2] * databases;
    System.out.printf(
        Locale.ROOT,
        "%-26s %12.4g +- %-9.2g + %11.4g +- %-9.2g a node + %11.4g +- %-9.2g a database"
            + " = %.4g at %d and %d%n",
        value.name(),
        slopes[0],
        errors[0],
        slopes[1],
        errors[1],
        slopes[2],
        errors[2],
        atSize,
        nodes,
        databases);
  }

  private void fitByDatabasesPerNode(Value value, List<JsonNode> runs) {
    SimpleRegression regression = new SimpleRegression();
    for (JsonNode run : runs) {
      double databasesPerNode = run.path("databases").asDouble() / run.path("nodes").asInt();
      regression.addData(databasesPerNode, value.reader().applyAsDouble(run));
    }
    System.out.printf(
        Locale.ROOT,
        "%-26s %12.4g +- %-9.2g + %11.4g +- %-9.2g for each database a node = %.4g at %d and %d%n",
        value.name(),
        regression.getIntercept(),
        regression.getInterceptStdErr(),
        regression.getSlope(),
        regression.getSlopeStdErr(),
        regression.predict(databases / (double) nodes),
        nodes,
        databases);
  }
}
