package org.streamcourse.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.streamcourse.connection.admin.Console;
import org.streamcourse.process.explain.ExplainCommand;
import org.streamcourse.process.logging.LogFlush;
import org.streamcourse.process.settings.ControllerSettings;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.process.settings.ProxySettings;
import org.streamcourse.process.settings.ServiceControllerSettings;
import org.streamcourse.process.settings.SettingsReader;
import org.streamcourse.process.settings.StatementProxySettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of Streamcourse. */
@Command(
    name = "streamcourse",
    mixinStandardHelpOptions = true,
    version = "streamcourse 0.1.0",
    description = "Database proxy with session consistency.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:success", "1:the command failed", "2:wrong usage or settings"},
    subcommands = {
      StreamcourseCommand.ControllerCommand.class,
      StreamcourseCommand.ProxyCommand.class,
      StreamcourseCommand.CheckConfigCommand.class,
      StreamcourseCommand.ConsoleCommand.class,
      ExplainCommand.class,
      StreamcourseCommand.SettingsReferenceCommand.class
    })
public final class StreamcourseCommand {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private StreamcourseCommand() {}

  /**
   * Runs a command.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    CommandLine commandLine = new CommandLine(new StreamcourseCommand());
    commandLine.setExecutionExceptionHandler(
        (exception, command, parsed) -> {
          command.getErr().println("streamcourse: " + describe(exception));
          return exception instanceof StreamcourseException known
                  && known.code() == ErrorCode.INVALID_SETTINGS
              ? EXIT_USAGE
              : EXIT_FAILED;
        });
    System.exit(commandLine.execute(arguments));
  }

  private static String describe(Exception exception) {
    return exception instanceof StreamcourseException known
        ? known.getMessage()
        : exception.toString();
  }

  /** Waits for the signal to stop, then runs a planned stop. */
  private static void runUntilStopped(Runnable stop) throws InterruptedException {
    CountDownLatch stopping = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    LogFlush.waitFor(stopped);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stopping.countDown();
                  try {
                    stopped.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                },
                "shutdown"));
    stopping.await();
    try {
      stop.run();
    } finally {
      stopped.countDown();
    }
  }

  /** Runs a controller. */
  @Command(
      name = "controller",
      mixinStandardHelpOptions = true,
      description = "Runs a controller until SIGTERM.")
  static final class ControllerCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "Settings file.")
    private Path config;

    @Option(
        names = "--bootstrap",
        description = "An empty data folder belongs to a new fleet; use once, at its first start.")
    private boolean bootstrap;

    @Override
    public Integer call() throws InterruptedException {
      ControllerProcess process =
          new ControllerProcess(SettingsReader.read(config, ControllerSettings.class), bootstrap);
      process.start();
      runUntilStopped(process::stop);
      return 0;
    }
  }

  /** Runs a proxy. */
  @Command(
      name = "proxy",
      mixinStandardHelpOptions = true,
      description = "Runs a proxy until SIGTERM; it then stops without interrupting a request.")
  static final class ProxyCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "Settings file.")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
      ProxyProcess process = new ProxyProcess(SettingsReader.read(config, ProxySettings.class));
      process.start();
      runUntilStopped(process::stop);
      return 0;
    }
  }

  /** Checks a settings file. */
  @Command(
      name = "check-config",
      mixinStandardHelpOptions = true,
      description = "Checks a settings file and reports the first error.")
  static final class CheckConfigCommand implements Callable<Integer> {
    /** Kinds of processes that a settings file may belong to. */
    private enum Role {
      CONTROLLER("controller", "admin:"),
      PROXY("proxy", "callers:"),
      STATEMENT_PROXY("statement-proxy", "sessions:"),
      SERVICE_CONTROLLER("service-controller", "calls:");

      private final String label;

      /** Key at the start of a line that only settings files of this role have. */
      private final String mark;

      Role(String label, String mark) {
        this.label = label;
        this.mark = mark;
      }
    }

    @Parameters(index = "0", description = "Settings file of a process.")
    private Path file;

    @Option(
        names = "--role",
        description =
            "controller, proxy, statement-proxy or service-controller; detected from the file"
                + " when left out.")
    private String role;

    @Override
    public Integer call() throws java.io.IOException {
      Role found = role == null ? roleOfFile() : roleNamed(role);
      switch (found) {
        case CONTROLLER -> SettingsReader.read(file, ControllerSettings.class);
        case PROXY ->
            ProxyProcess.policy(SettingsReader.read(file, ProxySettings.class).readPolicy());
        case STATEMENT_PROXY -> SettingsReader.read(file, StatementProxySettings.class);
        case SERVICE_CONTROLLER -> SettingsReader.read(file, ServiceControllerSettings.class);
      }
      System.out.println(file + ": valid settings of a " + found.label);
      return 0;
    }

    private static Role roleNamed(String label) {
      for (Role each : Role.values()) {
        if (each.label.equals(label)) {
          return each;
        }
      }
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS, "check-config", "", "--role: unknown role " + label);
    }

    private Role roleOfFile() throws java.io.IOException {
      List<String> lines = Files.exists(file) ? Files.readAllLines(file) : List.of();
      for (Role each : Role.values()) {
        if (lines.stream().anyMatch(line -> line.startsWith(each.mark))) {
          return each;
        }
      }
      return Role.PROXY;
    }
  }

  /** Sends statements to an admin port. */
  @Command(
      name = "console",
      mixinStandardHelpOptions = true,
      description =
          "Sends operators' statements, from --execute or line by line from standard input.")
  static final class ConsoleCommand implements Callable<Integer> {
    @Option(names = "--admin", required = true, description = "Admin port as IP:PORT.")
    private String admin;

    @Option(names = "--user", required = true, description = "Operator's name.")
    private String user;

    @Option(
        names = "--password",
        description = "Operator's password; STREAMCOURSE_PASSWORD when left out.")
    private String password;

    @Option(names = "--execute", description = "Statement to execute.")
    private String statement;

    @Override
    public Integer call() {
      String secret =
          password == null ? System.getenv().getOrDefault("STREAMCOURSE_PASSWORD", "") : password;
      Console console = new Console(HostPort.parse(admin), user, secret);
      return console.run(statement, System.in, System.out, System.err) ? 0 : EXIT_FAILED;
    }
  }

  /** Prints the reference of all settings. */
  @Command(
      name = "settings-reference",
      mixinStandardHelpOptions = true,
      description = "Prints the reference of all settings as Markdown.")
  static final class SettingsReferenceCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      System.out.print(SettingsReference.markdown());
      return 0;
    }
  }
}
