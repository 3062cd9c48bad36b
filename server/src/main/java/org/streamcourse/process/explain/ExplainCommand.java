package org.streamcourse.process.explain;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the decisions that led to one request's end. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description =
        "Prints the decisions that led to one request's end, and their cause, from the logs of all"
            + " processes.")
public final class ExplainCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(
      index = "0",
      paramLabel = "ID",
      description = "Id of the request, as in the detail of its error or in a log line.")
  private String id;

  @Option(
      names = "--logs",
      required = true,
      description = "Folder with the JSON log lines of all processes, one file per process.")
  private Path logs;

  @Override
  public Integer call() {
    new RequestExplainer(logs)
        .explain(id)
        .lines()
        .forEach(line -> spec.commandLine().getOut().println(line));
    spec.commandLine().getOut().flush();
    return 0;
  }
}
