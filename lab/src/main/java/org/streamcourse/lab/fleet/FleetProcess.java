package org.streamcourse.lab.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process of the lab that can be killed, paused and started again. */
public final class FleetProcess {
  private static final String CLASS_PATH = System.getProperty("java.class.path");

  private static final String LOG_LEVEL_VARIABLE = "STREAMCOURSE_LOG_LEVEL";

  private final String name;
  private final List<String> command;
  private final File log;
  private Process process;
  private boolean killedPermanently;
  private String logLevel;

  /**
   * Prepares a process without starting it.
   *
   * @param name process name, also the name of the log file
   * @param heapMegabytes maximum heap size
   * @param mainClass class to run
   * @param arguments arguments of the main class
   * @param folder folder for the log file
   */
  public FleetProcess(
      String name, int heapMegabytes, Class<?> mainClass, List<String> arguments, Path folder) {
    this.name = name;
    this.log = folder.resolve(name + ".log").toFile();
    command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-Xmx" + heapMegabytes + "m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-cp",
            CLASS_PATH,
            mainClass.getName()));
    command.addAll(arguments);
  }

  /**
   * Sets the process' log level from the next start on, independent of the lab's own level.
   *
   * @param level such as {@code INFO}
   */
  public void setLogLevel(String level) {
    logLevel = level;
  }

  /**
   * Starts the process, also again after it has ended.
   *
   * @throws IOException when the process can't be started
   */
  public void start() throws IOException {
    launch(command);
  }

  /**
   * Starts the process without one of its arguments.
   *
   * @param argument such as {@code --bootstrap}, which is valid at the first start only
   * @throws IOException when the process can't be started
   */
  public void startWithout(String argument) throws IOException {
    launch(command.stream().filter(each -> !each.equals(argument)).toList());
  }

  private synchronized void launch(List<String> commandLine) throws IOException {
    if (killedPermanently) {
      throw new IllegalStateException(name + " can't start: it was killed permanently");
    }
    ProcessBuilder builder =
        new ProcessBuilder(commandLine)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    if (logLevel != null) {
      builder.environment().put(LOG_LEVEL_VARIABLE, logLevel);
    }
    process = builder.start();
  }

  /**
   * Returns the name.
   *
   * @return name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the process id.
   *
   * @return pid since the last start
   */
  public long pid() {
    return process.pid();
  }

  /**
   * Returns whether the process runs.
   *
   * @return true from its start until its end
   */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process with SIGKILL. */
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
      await(10);
    }
  }

  /** Kills the process with SIGKILL; later starts fail. */
  public synchronized void killPermanently() {
    killedPermanently = true;
    kill();
  }

  /** Sends SIGTERM without waiting for the process' end. */
  public void terminate() {
    if (process != null) {
      process.destroy();
    }
  }

  /**
   * Waits for the process to end.
   *
   * @param seconds timeout
   * @return whether the process has ended
   */
  public boolean await(long seconds) {
    try {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Pauses the process with SIGSTOP; its connections stay open and get no replies.
   *
   * @throws IOException when the signal can't be sent
   */
  public void pause() throws IOException {
    signal("STOP");
  }

  /**
   * Resumes a paused process with SIGCONT.
   *
   * @throws IOException when the signal can't be sent
   */
  public void resume() throws IOException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().onExit().join();
  }
}
