package org.streamcourse.lab;

import java.util.Set;
import org.streamcourse.lab.bench.BenchCommand;
import org.streamcourse.lab.fleet.FleetCommand;
import org.streamcourse.lab.member.MemberCommand;
import org.streamcourse.lab.scale.FitCommand;
import org.streamcourse.lab.scale.ScaleCommand;
import org.streamcourse.lab.scale.SessionsCommand;
import org.streamcourse.lab.simulation.SimulateCommand;
import org.streamcourse.lab.simulation.SimulateServiceCommand;
import org.streamcourse.lab.soak.SoakCommand;
import org.streamcourse.lab.workload.DemoCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line of the lab. */
@Command(
    name = "streamcourse-lab",
    mixinStandardHelpOptions = true,
    description = "Stand-in databases, experiments and the simulator of streamcourse.",
    subcommands = {
      BenchCommand.class,
      DemoCommand.class,
      FitCommand.class,
      FleetCommand.class,
      MemberCommand.class,
      ScaleCommand.class,
      SessionsCommand.class,
      SimulateCommand.class,
      SimulateServiceCommand.class,
      SoakCommand.class
    })
public final class LabCommand {
  private static final String LOG_LEVEL = "STREAMCOURSE_LOG_LEVEL";

  /** Commands that run code of the server in this process, by default at log level ERROR. */
  private static final Set<String> QUIET_COMMANDS = Set.of("simulate", "simulate-service", "scale");

  private LabCommand() {}

  /**
   * Runs a command.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    boolean quiet = arguments.length > 0 && QUIET_COMMANDS.contains(arguments[0]);
    if (quiet && System.getProperty(LOG_LEVEL) == null) {
      System.setProperty(LOG_LEVEL, "ERROR");
    }
    System.exit(new CommandLine(new LabCommand()).execute(arguments));
  }
}
